#include "src/http/caller_api.hpp"

#include "src/http/answer_delivery.hpp"
#include "src/http/answer_writer.hpp"
#include "src/http/authenticator.hpp"
#include "src/http/caller_options.hpp"
#include "src/http/generation_body.hpp"
#include "src/http/header_names.hpp"
#include "src/http/request_runner.hpp"
#include "src/http/url.hpp"
#include "src/request/issued_key.hpp"
#include "src/request/prompt_features.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>

namespace tanagerlead::http
{

namespace
{

enum status : int
{
    ok = 200,
    bad_request = 400,
    unauthorized = 401,
    forbidden = 403,
    not_found = 404,
    unsupported_media_type = 415,
    unprocessable = 422,
    service_unavailable = 503,
};

/// A call of a plain service counts as so many tokens.
constexpr base::token_count service_call_tokens = 1;

void refuse_input(int code, char const* word, char const* step,
                  std::string detail, http_reply& response)
{
    write_error(
        code, word,
        {base::error_code::invalid_argument, step, {}, std::move(detail)},
        response);
}

std::string path_of(generation_kind kind)
{
    return kind == generation_kind::chat ? "/v1/chat/completions"
                                         : "/v1/completions";
}

bool is_read_only(std::string const& method)
{
    return method == "GET" || method == "HEAD";
}

} // namespace

class caller_api::impl
{
public:
    impl(caller_api_settings settings, caller_api_services const& services);

    void add_routes(router& to);
    void begin_drain() { draining_ = true; }
    bool wait_until_idle(base::duration longest);
    void stop() { runner_.stop(); }
    std::string metrics_text() const { return metrics_.text(); }
    std::size_t in_flight() const { return runner_.in_flight(); }

private:
    using handler = void (impl::*)(authenticated const&, http_call const&,
                                   http_reply&);

    /// A request read, checked and ready to be run.
    struct draft
    {
        base::pool_id pool_;
        /// For the fingerprint: what makes two requests the same.
        std::string sameness_;
        request::prompt_features features_;
        base::token_count max_output_tokens_ = 0;
        target_call call_;
        bool stream_ = false;
        bool model_ = false;
    };

    router::handler with_workspace(handler method);
    void chat(authenticated const& caller, http_call const& request,
              http_reply& response);
    void completion(authenticated const& caller, http_call const& request,
                    http_reply& response);
    void generate(generation_kind kind, authenticated const& caller,
                  http_call const& request, http_reply& response);
    void service(authenticated const& caller, http_call const& request,
                 http_reply& response);
    void find_request(authenticated const& caller, http_call const& request,
                      http_reply& response);
    void entries(authenticated const& caller, http_call const& request,
                 http_reply& response);
    void ready(http_call const& request, http_reply& response);

    bool may_use(authenticated const& caller, base::pool_id const& pool,
                 config::pool_kind kind, http_reply& response) const;
    void run(authenticated const& caller, draft&& what,
             caller_options const& options, http_call const& request,
             http_reply& response);
    std::shared_ptr<runnable> make_runnable(authenticated const& caller,
                                            draft&& what,
                                            caller_options const& options,
                                            http_call const& request);
    std::optional<base::duration> grace_of(draft const& what,
                                           caller_options const& options) const;
    void submit(std::shared_ptr<runnable> const& work);
    void deliver(std::shared_ptr<reading> const& reader,
                 std::uint64_t last_event, http_reply& response);
    std::shared_ptr<reading> read(request::record_ptr const& record);
    std::vector<request::entry_address>
    other_entries(request::request_identity const& identity) const;

    caller_api_settings const settings_;
    caller_api_services const use_;
    http_target_connection own_targets_;
    request::request_table table_;
    request::metrics metrics_;
    authenticator authenticator_;
    request_runner runner_;
    std::atomic<std::uint64_t> next_sequence_{1};
    std::atomic<bool> draining_{false};
    std::atomic<int> readers_{0};
};

caller_api::impl::impl(caller_api_settings settings,
                       caller_api_services const& services)
    : settings_{std::move(settings)}, use_{services},
      own_targets_{use_.loop_}, table_{settings_.memory_, use_.clock_},
      metrics_{settings_.most_metric_workspaces_},
      authenticator_{use_.configuration_},
      runner_{{settings_.origin_, settings_.seed_, settings_.target_,
               settings_.most_connect_tries_, settings_.most_issued_keys_},
              {use_.loop_, use_.dispatcher_, use_.entries_, use_.claims_,
               use_.clock_,
               use_.targets_ != nullptr ? *use_.targets_ : own_targets_, table_,
               metrics_}}
{
}

router::handler caller_api::impl::with_workspace(handler method)
{
    return [this, method](http_call const& request, http_reply& response)
    {
        auto const caller =
            authenticator_.find(request.headers_.value("Authorization"));
        if (caller.workspace_ == nullptr)
        {
            response.set_header("WWW-Authenticate", "Bearer");
            refuse_input(status::unauthorized, "unknown_key", "authenticate",
                         "the bearer key belongs to no workspace", response);
            return;
        }
        (this->*method)(caller, request, response);
    };
}

void caller_api::impl::add_routes(router& to)
{
    to.add("POST", "/v1/chat/completions", with_workspace(&impl::chat));
    to.add("POST", "/v1/completions", with_workspace(&impl::completion));
    auto const to_service = with_workspace(&impl::service);
    for (auto const* method : {"GET", "POST", "PUT", "PATCH", "DELETE"})
    {
        to.add(method, "/v1/services/{}/**", to_service);
    }
    auto const find = with_workspace(&impl::find_request);
    to.add("GET", "/v1/requests/{}", find);
    to.add("GET", "/v1/requests/{}/stream", find);
    to.add("GET", "/v1/entries", with_workspace(&impl::entries));
    to.add("GET", "/metrics",
           [this](http_call const& /*request*/, http_reply& response)
           {
               auto const more = use_.more_metrics_;
               response.set_content(metrics_.text() +
                                        (more ? more() : std::string{}),
                                    "text/plain; version=0.0.4");
           });
    to.add("GET", "/healthz",
           [](http_call const& /*request*/, http_reply& response)
           { response.set_content("ok\n", "text/plain"); });
    to.add("GET", "/readyz",
           [this](http_call const& request, http_reply& response)
           { ready(request, response); });
}

void caller_api::impl::ready(http_call const& /*request*/, http_reply& response)
{
    auto const is_ready = !draining_ && use_.entries_.accepts_work();
    response.set_status(is_ready ? status::ok : status::service_unavailable);
    response.set_content(is_ready ? "ready\n" : "not ready\n", "text/plain");
}

void caller_api::impl::entries(authenticated const& caller,
                               http_call const& request, http_reply& response)
{
    std::vector<base::pool_id> pools;
    if (auto const model = request.parameter("model"))
    {
        pools.emplace_back(*model);
    }
    else
    {
        pools = caller.workspace_->pools_;
    }
    auto addresses = nlohmann::json::array();
    for (auto const& entry :
         use_.entries_.entries_for(caller.workspace_->id_, pools))
    {
        addresses.push_back(entry.address_.str());
    }
    nlohmann::json body{
        {"entries", addresses},
        {"keep_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                        settings_.keep_entries_)
                        .count()},
    };
    if (runner_.issues_keys())
    {
        body["key_prefix"] = request::issued_key_prefix(settings_.origin_);
    }
    response.set_content(body.dump(), "application/json");
}

void caller_api::impl::chat(authenticated const& caller,
                            http_call const& request, http_reply& response)
{
    generate(generation_kind::chat, caller, request, response);
}

void caller_api::impl::completion(authenticated const& caller,
                                  http_call const& request,
                                  http_reply& response)
{
    generate(generation_kind::completion, caller, request, response);
}

void caller_api::impl::generate(generation_kind kind,
                                authenticated const& caller,
                                http_call const& request, http_reply& response)
{
    if (!request.headers_.value("Content-Type").starts_with("application/json"))
    {
        refuse_input(status::unsupported_media_type, "content_type",
                     "read request", "Content-Type: must be application/json",
                     response);
        return;
    }
    auto const options = read_options(request, false);
    if (!options)
    {
        write_error(status::bad_request, "bad_header", options.error(),
                    response);
        return;
    }
    auto body = parse_generation(request.body_, kind);
    if (!body)
    {
        write_error(status::bad_request, "bad_body", body.error(), response);
        return;
    }
    if (!may_use(caller, body.value().model_, config::pool_kind::model,
                 response))
    {
        return;
    }
    draft what;
    what.pool_ = body.value().model_;
    what.sameness_ = path_of(kind) + request.body_;
    what.features_ = request::extract_features(body.value().prompt_);
    what.max_output_tokens_ = body.value().max_output_tokens_;
    what.call_ = {"POST", path_of(kind), {}, "application/json", request.body_};
    what.stream_ = body.value().stream_;
    what.model_ = true;
    run(caller, std::move(what), options.value(), request, response);
}

void caller_api::impl::service(authenticated const& caller,
                               http_call const& request, http_reply& response)
{
    if (request.headers_.value("Content-Type")
            .starts_with("multipart/form-data"))
    {
        refuse_input(status::unsupported_media_type, "content_type",
                     "read request", "Content-Type: multipart is not supported",
                     response);
        return;
    }
    auto const options = read_options(request, !is_read_only(request.method_));
    if (!options)
    {
        write_error(status::bad_request, "bad_header", options.error(),
                    response);
        return;
    }
    base::pool_id const pool{request.captures_.front()};
    if (!may_use(caller, pool, config::pool_kind::service, response))
    {
        return;
    }
    draft what;
    what.pool_ = pool;
    what.features_.tokens_ = service_call_tokens;
    what.max_output_tokens_ = service_call_tokens;
    auto const path = path_behind(request.target_, "/v1/services/");
    what.sameness_ = request.method_ + ' ' + path + '\n' + request.body_;
    what.call_ = {request.method_,
                  path,
                  {},
                  request.headers_.value("Content-Type"),
                  request.body_};
    for (auto const& field : request.headers_)
    {
        if (passes_to_target(field.name_))
        {
            what.call_.headers_.add(field.name_, field.value_);
        }
    }
    run(caller, std::move(what), options.value(), request, response);
}

bool caller_api::impl::may_use(authenticated const& caller,
                               base::pool_id const& pool,
                               config::pool_kind kind,
                               http_reply& response) const
{
    auto const& known = caller.configuration_->pools_;
    auto const exists =
        std::any_of(known.begin(), known.end(),
                    [&](config::pool_config const& each)
                    { return each.id_ == pool && each.kind_ == kind; });
    if (!exists)
    {
        refuse_input(status::not_found, "unknown_pool", "look up pool",
                     "there is no such model or service", response);
        return false;
    }
    auto const& allowed = caller.workspace_->pools_;
    if (std::find(allowed.begin(), allowed.end(), pool) == allowed.end())
    {
        refuse_input(status::forbidden, "pool_not_allowed", "look up pool",
                     "the workspace may not use it", response);
        return false;
    }
    return true;
}

std::optional<base::duration>
caller_api::impl::grace_of(draft const& what,
                           caller_options const& options) const
{
    if (options.non_idempotent_ || !what.model_)
    {
        // Stopping it half way would leave its effect unknown.
        return std::nullopt;
    }
    // Nobody can come back to a plain answer without a key.
    auto const resumable = what.stream_ || !options.idempotency_key_.empty();
    return resumable ? settings_.resume_grace_ : base::duration{};
}

std::shared_ptr<runnable>
caller_api::impl::make_runnable(authenticated const& caller, draft&& what,
                                caller_options const& options,
                                http_call const& request)
{
    auto const now = use_.clock_.now();
    request::request_identity identity;
    identity.id_ = {settings_.origin_, next_sequence_++};
    identity.workspace_ = caller.workspace_->id_;
    identity.pool_ = what.pool_;
    identity.tier_ = caller.workspace_->tier_;
    identity.key_ = options.idempotency_key_;
    identity.fingerprint_ = request::fingerprint(
        identity.workspace_, identity.pool_, what.sameness_);
    identity.non_idempotent_ = options.non_idempotent_;

    auto work = std::make_shared<runnable>();
    work->item_ = {identity.id_,
                   settings_.daemon_,
                   identity.workspace_,
                   identity.pool_,
                   identity.tier_,
                   what.features_.tokens_,
                   what.max_output_tokens_,
                   std::move(what.features_.prefix_),
                   identity.fingerprint_,
                   now};
    if (options.deadline_)
    {
        work->item_.deadline_ = now + *options.deadline_;
    }
    work->bearer_ = bearer_key(request.headers_.value("Authorization"));
    work->forwarded_ = options.forwarded_;
    work->caller_path_ = request.target_;
    auto& job = work->job_;
    job.stream_ = what.stream_;
    job.model_ = what.model_;
    job.grace_ = grace_of(what, options);
    job.call_ = std::move(what.call_);
    job.call_.headers_.add("X-Request-Id", identity.id_.str());
    job.record_ = std::make_shared<request::request_record>(
        std::move(identity), use_.clock_, settings_.most_answer_bytes_);
    return work;
}

void caller_api::impl::run(authenticated const& caller, draft&& what,
                           caller_options const& options,
                           http_call const& request, http_reply& response)
{
    auto const work = make_runnable(caller, std::move(what), options, request);
    auto const& wanted = work->job_.record_;
    auto const may_replace = [](request::request_record const& earlier)
    {
        auto const end = earlier.answer().end();
        if (!end || end->outcome_ == request::outcome::complete)
        {
            return false;
        }
        return end->outcome_ == request::outcome::not_run ||
               !earlier.identity().non_idempotent_;
    };
    // Attached before anybody else can be: the request must not be withdrawn
    // for want of readers.
    auto reader = read(wanted);
    auto const record = table_.add_or_join(wanted, may_replace);
    if (record == wanted)
    {
        submit(work);
    }
    else if (record->identity().fingerprint_ != wanted->identity().fingerprint_)
    {
        refuse_input(status::unprocessable, "key_reused",
                     "look up the idempotency key",
                     "the key was used for another request", response);
        return;
    }
    else
    {
        reader = read(record);
    }
    deliver(reader, options.last_event_, response);
}

void caller_api::impl::submit(std::shared_ptr<runnable> const& work)
{
    if (draining_ || !use_.entries_.accepts_work())
    {
        runner_.refuse(work, sched::refusal_cause::draining,
                       runner_.usual_retry());
        return;
    }
    if (work->item_.deadline_ <= use_.clock_.now())
    {
        runner_.refuse(work, sched::refusal_cause::deadline, {});
        return;
    }
    if (readers_ > settings_.most_open_calls_ &&
        !runner_.make_room_for(work->item_.tier_))
    {
        runner_.refuse(work, sched::refusal_cause::overloaded,
                       runner_.usual_retry());
        return;
    }
    runner_.start(work);
}

std::shared_ptr<reading>
caller_api::impl::read(request::record_ptr const& record)
{
    ++readers_;
    return std::make_shared<reading>(record,
                                     [this](request::record_ptr const& left)
                                     {
                                         runner_.reader_left(left);
                                         --readers_;
                                     });
}

void caller_api::impl::deliver(std::shared_ptr<reading> const& reader,
                               std::uint64_t last_event, http_reply& response)
{
    response.deliver_by(
        [this, reader, last_event](http_reply::connection_ptr const& to)
        {
            answer_delivery::begin(use_.loop_, to, reader, last_event,
                                   [this](auto const& identity)
                                   { return other_entries(identity); });
        });
}

std::vector<request::entry_address>
caller_api::impl::other_entries(request::request_identity const& identity) const
{
    auto entries =
        use_.entries_.entries_for(identity.workspace_, {identity.pool_});
    std::erase_if(entries, [this](request::entry_address const& each)
                  { return each.daemon_ == settings_.daemon_; });
    return entries;
}

void caller_api::impl::find_request(authenticated const& caller,
                                    http_call const& request,
                                    http_reply& response)
{
    auto const options = read_options(request, false);
    if (!options)
    {
        write_error(status::bad_request, "bad_header", options.error(),
                    response);
        return;
    }
    base::request_id id;
    auto const record = base::parse_request_id(request.captures_.front(), id)
                            ? table_.find(id, caller.workspace_->id_)
                            : nullptr;
    if (!record)
    {
        refuse_input(status::not_found, "unknown_request", "look up request",
                     "this daemon holds no such request", response);
        return;
    }
    deliver(read(record), options.value().last_event_, response);
}

bool caller_api::impl::wait_until_idle(base::duration longest)
{
    auto const until = std::chrono::steady_clock::now() + longest;
    constexpr auto poll = std::chrono::milliseconds{20};
    while (!runner_.wait_until_idle(poll) || readers_ > 0)
    {
        if (std::chrono::steady_clock::now() >= until)
        {
            return false;
        }
        if (readers_ > 0)
        {
            std::this_thread::sleep_for(poll);
        }
    }
    return true;
}

caller_api::caller_api(caller_api_settings settings,
                       caller_api_services const& services)
    : impl_{std::make_unique<impl>(std::move(settings), services)}
{
}

caller_api::~caller_api() = default;

void caller_api::add_routes(router& to)
{
    impl_->add_routes(to);
}

void caller_api::begin_drain()
{
    impl_->begin_drain();
}

bool caller_api::wait_until_idle(base::duration longest)
{
    return impl_->wait_until_idle(longest);
}

void caller_api::stop()
{
    impl_->stop();
}

std::string caller_api::metrics_text() const
{
    return impl_->metrics_text();
}

std::size_t caller_api::in_flight() const
{
    return impl_->in_flight();
}

} // namespace tanagerlead::http
