#include "tests/fakes/fake_key_value.hpp"

#include "src/base/base64.hpp"

#include <arpa/inet.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>

namespace tanagerlead::fakes
{

namespace
{

using nlohmann::json;

constexpr int server_threads = 128;
constexpr int control_threads = 4;
constexpr auto watch_poll = std::chrono::milliseconds{20};
constexpr double burst_seconds = 0.1;

enum status
{
    status_bad_request = 400,
    status_not_found = 404,
    status_too_many_requests = 429,
    status_unavailable = 503,
};

std::string decode_bytes(json const& object, char const* name)
{
    auto bytes = base::base64_decode(object.value(name, std::string{}));
    if (!bytes)
    {
        throw std::invalid_argument{name};
    }
    return *bytes;
}

std::int64_t decode_number(json const& object, char const* name)
{
    auto const found = object.find(name);
    if (found == object.end())
    {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>())
                              : found->get<std::int64_t>();
}

comparison decode_comparison(json const& object)
{
    if (object.value("result", std::string{"EQUAL"}) != "EQUAL")
    {
        throw std::invalid_argument{"only EQUAL is compared"};
    }
    comparison out;
    out.key_ = decode_bytes(object, "key");
    auto const target = object.value("target", std::string{"VERSION"});
    if (target == "MOD")
    {
        out.field_ = compare_field::mod_revision;
        out.number_ = decode_number(object, "mod_revision");
    }
    else if (target == "CREATE")
    {
        out.field_ = compare_field::create_revision;
        out.number_ = decode_number(object, "create_revision");
    }
    else if (target == "VALUE")
    {
        out.field_ = compare_field::value;
        out.value_ = decode_bytes(object, "value");
    }
    else
    {
        out.field_ = compare_field::version;
        out.number_ = decode_number(object, "version");
    }
    return out;
}

operation decode_operation(json const& object)
{
    if (object.contains("request_put"))
    {
        auto const& put = object.at("request_put");
        return {decode_bytes(put, "key"), decode_bytes(put, "value"),
                decode_number(put, "lease")};
    }
    auto const& erase = object.at("request_delete_range");
    return {decode_bytes(erase, "key"), std::nullopt, 0};
}

json encode_entry(std::string const& key, stored_value const& entry)
{
    return {{"key", base::base64_encode(key)},
            {"value", base::base64_encode(entry.value_)},
            {"create_revision", std::to_string(entry.create_revision_)},
            {"mod_revision", std::to_string(entry.mod_revision_)},
            {"version", std::to_string(entry.version_)},
            {"lease", std::to_string(entry.lease_)}};
}

json encode_change(change const& what)
{
    if (what.now_)
    {
        return {{"kv", encode_entry(what.key_, *what.now_)}};
    }
    return {{"type", "DELETE"},
            {"kv",
             {{"key", base::base64_encode(what.key_)},
              {"mod_revision", std::to_string(what.revision_)}}}};
}

json encode_header(std::int64_t revision)
{
    return {{"revision", std::to_string(revision)}};
}

key_value_state::map::const_iterator
end_of_range(key_value_state::map const& values, std::string const& key,
             std::string const& end)
{
    if (end.empty())
    {
        return values.upper_bound(key);
    }
    // A single zero byte stands for "to the last key".
    auto const open = end.size() == 1 && end.front() == '\0';
    return open ? values.end() : values.lower_bound(end);
}

void answer_json(httplib::Response& out, json const& body)
{
    out.set_content(body.dump(), "application/json");
}

void answer_error(httplib::Response& out, int code, char const* message)
{
    out.status = code;
    answer_json(out, {{"error", message}, {"message", message}});
}

/// Begins an answer and closes the connection in the midst of it.
void drop_connection(httplib::Response& out)
{
    out.set_content_provider(1, "application/json",
                             [](std::size_t, std::size_t, httplib::DataSink&)
                             { return false; });
}

outage parse_outage(std::string const& name)
{
    static std::map<std::string, outage> const names{
        {"none", outage::none},
        {"refuse", outage::refuse},
        {"hang", outage::hang},
        {"503", outage::unavailable},
    };
    return names.at(name);
}

/// A handler that answers 400 to whatever its body throws.
template <class Serve>
httplib::Server::Handler guarded(Serve serve)
{
    return [serve](httplib::Request const& in, httplib::Response& out)
    {
        try
        {
            serve(in, out);
        }
        catch (std::exception const& problem)
        {
            answer_error(out, status_bad_request, problem.what());
        }
    };
}

} // namespace

/// Keeps the port while nothing listens on it.
class fake_key_value::reservation
{
public:
    explicit reservation(base::address const& wanted)
        : socket_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        int const on = 1;
        ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        ::setsockopt(socket_, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(wanted.port_);
        ::inet_pton(AF_INET, wanted.ip_.c_str(), &name.sin_addr);
        bound_ = ::bind(socket_, reinterpret_cast<sockaddr const*>(&name),
                        sizeof name) == 0;
    }

    ~reservation() { ::close(socket_); }
    reservation(reservation const&) = delete;
    reservation& operator=(reservation const&) = delete;

    bool bound() const { return bound_; }

    std::uint16_t port() const
    {
        sockaddr_in name{};
        socklen_t size = sizeof name;
        ::getsockname(socket_, reinterpret_cast<sockaddr*>(&name), &size);
        return ntohs(name.sin_port);
    }

private:
    int socket_;
    bool bound_ = false;
};

/// How a call is to be answered.
struct fake_key_value::admission
{
    /// 0: serve it.
    int refused_with_ = 0;
    bool lose_answer_ = false;
};

fake_key_value::fake_key_value(base::address listen, base::clock const& clock)
    : address_{std::move(listen)}, clock_{clock}
{
}

fake_key_value::~fake_key_value()
{
    stop();
}

base::result<void> fake_key_value::start()
{
    reservation_ = std::make_unique<reservation>(address_);
    if (!reservation_->bound())
    {
        return base::fail(base::error_code::unavailable, "reserve port",
                          address_.str(), "cannot bind");
    }
    address_.port_ = reservation_->port();
    control_ = std::make_unique<blocking_server>(
        blocking_server_settings{{address_.ip_, 0}, control_threads});
    add_control_routes(*control_);
    auto started = control_->start();
    return started ? listen() : started;
}

base::result<void> fake_key_value::listen()
{
    server_ = std::make_unique<blocking_server>(
        blocking_server_settings{address_, server_threads});
    add_routes(*server_);
    add_control_routes(*server_);
    return server_->start();
}

void fake_key_value::stop()
{
    {
        std::lock_guard const lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    control_.reset();
    std::lock_guard const lock{listener_mutex_};
    server_.reset();
}

base::address fake_key_value::control_address() const
{
    return control_->local_address();
}

void fake_key_value::set_faults(key_value_faults const& faults)
{
    std::lock_guard const listener{listener_mutex_};
    {
        std::lock_guard const lock{mutex_};
        faults_ = faults;
        write_tokens_ = 0;
        tokens_filled_ = clock_.now();
        // An outage takes the streams with it.
        watch_generation_ += faults.outage_ == outage::none ? 0 : 1;
    }
    changed_.notify_all();
    if (faults.outage_ == outage::refuse)
    {
        server_.reset();
    }
    else if (!server_)
    {
        auto const reopened = listen();
        assert(reopened.has_value());
        static_cast<void>(reopened);
    }
}

key_value_faults fake_key_value::faults()
{
    std::lock_guard const lock{mutex_};
    return faults_;
}

key_value_log fake_key_value::log()
{
    std::lock_guard const lock{mutex_};
    return log_;
}

void fake_key_value::drop_watches()
{
    {
        std::lock_guard const lock{mutex_};
        ++watch_generation_;
    }
    changed_.notify_all();
}

int fake_key_value::held_watches()
{
    std::lock_guard const lock{mutex_};
    return held_watches_;
}

void fake_key_value::wait_for_watches(int count)
{
    std::unique_lock lock{mutex_};
    changed_.wait(lock, [&] { return held_watches_ == count; });
}

int fake_key_value::keys_under(std::string const& prefix)
{
    std::lock_guard const lock{mutex_};
    int count = 0;
    for (auto const& [key, entry] : state_.values())
    {
        count += key.starts_with(prefix) ? 1 : 0;
    }
    return count;
}

bool fake_key_value::take_write_token()
{
    if (faults_.writes_per_second_ == 0)
    {
        return true;
    }
    auto const rate = static_cast<double>(faults_.writes_per_second_);
    auto const now = clock_.now();
    write_tokens_ += base::seconds(now - tokens_filled_) * rate;
    write_tokens_ =
        std::min(write_tokens_, std::max(1.0, rate * burst_seconds));
    tokens_filled_ = now;
    if (write_tokens_ < 1)
    {
        ++log_.rate_limited_;
        return false;
    }
    write_tokens_ -= 1;
    return true;
}

fake_key_value::admission fake_key_value::admit(bool is_write)
{
    std::unique_lock lock{mutex_};
    changed_.wait(lock, [this]
                  { return stopping_ || faults_.outage_ != outage::hang; });
    if (stopping_ || faults_.outage_ != outage::none)
    {
        return {status_unavailable, false};
    }
    if (faults_.slowness_ > base::duration{})
    {
        changed_.wait_for(lock, faults_.slowness_,
                          [this] {
                              return stopping_ ||
                                     faults_.slowness_ == base::duration{};
                          });
    }
    state_.expire(clock_.now());
    if (!is_write)
    {
        ++log_.reads_;
        return {};
    }
    if (!take_write_token())
    {
        return {status_too_many_requests, false};
    }
    ++log_.writes_;
    admission out;
    if (faults_.lose_answers_ > 0)
    {
        --faults_.lose_answers_;
        ++log_.lost_answers_;
        out.lose_answer_ = true;
    }
    return out;
}

void fake_key_value::serve_range(std::string const& body,
                                 httplib::Response& out)
{
    auto const asked = json::parse(body);
    auto const key = decode_bytes(asked, "key");
    auto const end = decode_bytes(asked, "range_end");
    auto const admitted = admit(false);
    if (admitted.refused_with_ != 0)
    {
        answer_error(out, admitted.refused_with_, "unavailable");
        return;
    }
    std::lock_guard const lock{mutex_};
    auto const& values = state_.values();
    auto const first = values.lower_bound(key);
    auto const last = end_of_range(values, key, end);
    json entries = json::array();
    for (auto at = first; at != last; ++at)
    {
        entries.push_back(encode_entry(at->first, at->second));
    }
    answer_json(out, {{"header", encode_header(state_.revision())},
                      {"count", std::to_string(entries.size())},
                      {"kvs", entries}});
}

void fake_key_value::serve_transaction(std::string const& body,
                                       httplib::Response& out)
{
    auto const asked = json::parse(body);
    std::vector<comparison> comparisons;
    for (auto const& each : asked.value("compare", json::array()))
    {
        comparisons.push_back(decode_comparison(each));
    }
    std::vector<operation> operations;
    for (auto const& each : asked.value("success", json::array()))
    {
        operations.push_back(decode_operation(each));
    }
    auto const admitted = admit(true);
    if (admitted.refused_with_ != 0)
    {
        answer_error(out, admitted.refused_with_, "refused");
        return;
    }
    json answer;
    {
        std::lock_guard const lock{mutex_};
        log_.bytes_written_ += static_cast<std::int64_t>(body.size());
        if (state_.transact(comparisons, operations))
        {
            answer["succeeded"] = true;
        }
        else
        {
            ++log_.conflicts_;
        }
        answer["header"] = encode_header(state_.revision());
    }
    changed_.notify_all();
    if (admitted.lose_answer_)
    {
        drop_connection(out);
        return;
    }
    answer_json(out, answer);
}

void fake_key_value::serve_lease(std::string const& verb,
                                 std::string const& body,
                                 httplib::Response& out)
{
    auto const asked = json::parse(body);
    auto const admitted = admit(true);
    if (admitted.refused_with_ != 0)
    {
        answer_error(out, admitted.refused_with_, "refused");
        return;
    }
    std::lock_guard const lock{mutex_};
    ++log_.leases_;
    auto const now = clock_.now();
    auto const time_to_live = decode_number(asked, "TTL");
    auto const id = decode_number(asked, "ID");
    if (verb == "grant")
    {
        auto const granted =
            state_.grant(std::chrono::seconds{time_to_live}, now);
        answer_json(out, {{"ID", std::to_string(granted)},
                          {"TTL", std::to_string(time_to_live)}});
    }
    else if (verb == "keepalive")
    {
        json result{{"ID", std::to_string(id)}};
        if (state_.keep_alive(id, now))
        {
            result["TTL"] = "1";
        }
        answer_json(out, {{"result", result}});
    }
    else
    {
        state_.revoke(id);
        answer_json(out, {{"header", encode_header(state_.revision())}});
    }
}

void fake_key_value::serve_watch(std::string const& body,
                                 httplib::Response& out)
{
    auto const asked = json::parse(body).at("create_request");
    auto const key = decode_bytes(asked, "key");
    auto const admitted = admit(false);
    if (admitted.refused_with_ != 0)
    {
        answer_error(out, admitted.refused_with_, "unavailable");
        return;
    }
    std::int64_t next = 0;
    int generation = 0;
    {
        std::lock_guard const lock{mutex_};
        next = decode_number(asked, "start_revision");
        next = next == 0 ? state_.revision() + 1 : next;
        generation = watch_generation_;
        ++log_.watches_;
        ++held_watches_;
    }
    changed_.notify_all();
    auto created = std::make_shared<bool>(false);
    out.set_chunked_content_provider(
        "application/json",
        [this, key, next, generation, created](std::size_t,
                                               httplib::DataSink& sink) mutable
        {
            if (!*created)
            {
                *created = true;
                auto const line =
                    json{{"result", {{"created", true}}}}.dump() + "\n";
                return sink.write(line.data(), line.size());
            }
            return feed_watch(key, next, generation, sink);
        },
        [this](bool)
        {
            {
                std::lock_guard const lock{mutex_};
                --held_watches_;
            }
            changed_.notify_all();
        });
}

bool fake_key_value::feed_watch(std::string const& key, std::int64_t& next,
                                int generation, httplib::DataSink& sink)
{
    json events = json::array();
    {
        std::unique_lock lock{mutex_};
        auto const over = [&]
        {
            return stopping_ || watch_generation_ != generation;
        };
        changed_.wait_for(lock, watch_poll,
                          [&] { return over() || state_.revision() >= next; });
        if (over())
        {
            return false;
        }
        state_.expire(clock_.now());
        for (auto const& what : state_.changes())
        {
            if (what.revision_ >= next && what.key_ == key)
            {
                events.push_back(encode_change(what));
            }
        }
        next = state_.revision() + 1;
    }
    if (events.empty())
    {
        return sink.is_writable();
    }
    auto const line = json{{"result", {{"events", events}}}}.dump() + "\n";
    return sink.write(line.data(), line.size());
}

void fake_key_value::answer_faults(std::string const& body,
                                   httplib::Response& out)
{
    auto const asked = json::parse(body);
    auto wanted = faults();
    if (asked.contains("outage"))
    {
        wanted.outage_ = parse_outage(asked.at("outage").get<std::string>());
    }
    auto const slow = asked.value(
        "slow_ms",
        static_cast<std::int64_t>(base::milliseconds(wanted.slowness_)));
    wanted.slowness_ = std::chrono::milliseconds{slow};
    wanted.lose_answers_ = asked.value("lose_answers", wanted.lose_answers_);
    wanted.writes_per_second_ =
        asked.value("writes_per_second", wanted.writes_per_second_);
    set_faults(wanted);
    answer_json(out, json::object());
}

void fake_key_value::add_control_routes(blocking_server& to)
{
    auto const is_control = &to == control_.get();
    to.routes().Post("/fake/faults",
                     guarded(
                         [this, is_control](auto const& in, auto& out)
                         {
                             // A listener cannot close itself from one of its
                             // threads.
                             if (!is_control &&
                                 in.body.find("refuse") != std::string::npos)
                             {
                                 throw std::invalid_argument{
                                     "ask for refuse on the control address"};
                             }
                             answer_faults(in.body, out);
                         }));
    to.routes().Get("/fake/log",
                    guarded(
                        [this](auto const& /*in*/, auto& out)
                        {
                            auto const seen = log();
                            answer_json(
                                out, {{"reads", seen.reads_},
                                      {"writes", seen.writes_},
                                      {"conflicts", seen.conflicts_},
                                      {"watches", seen.watches_},
                                      {"held_watches", held_watches()},
                                      {"leases", seen.leases_},
                                      {"rate_limited", seen.rate_limited_},
                                      {"lost_answers", seen.lost_answers_},
                                      {"bytes_written", seen.bytes_written_}});
                        }));
}

void fake_key_value::add_routes(blocking_server& to)
{
    to.routes().Post("/v3/kv/range", guarded([this](auto const& in, auto& out)
                                             { serve_range(in.body, out); }));
    to.routes().Post("/v3/kv/txn",
                     guarded([this](auto const& in, auto& out)
                             { serve_transaction(in.body, out); }));
    to.routes().Post("/v3/lease/(grant|keepalive|revoke)",
                     guarded([this](auto const& in, auto& out)
                             { serve_lease(in.matches[1], in.body, out); }));
    to.routes().Post("/v3/watch", guarded([this](auto const& in, auto& out)
                                          { serve_watch(in.body, out); }));
}

} // namespace tanagerlead::fakes
