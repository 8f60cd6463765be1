#include "runner.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace tanagerlead::review
{

using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr auto idle_time = 5s;

} // namespace

runner::runner(runner_settings s, store& registry, record& log)
    : settings_{std::move(s)}, registry_{registry}, log_{log},
      server_{settings_.at_, [this](connection& from, request const& asked)
              {
                  return answer(from, asked);
              }}
{
}

runner::~runner()
{
    server_.crash();
}

std::string runner::entry() const
{
    json out;
    out["Service"] = settings_.service_;
    out["Address"] = settings_.at_.str();
    out["Zone"] = settings_.zone_;
    out["Version"] = settings_.version_;
    out["Slots"] = settings_.slots_;
    out["State"] = "ready";
    out["ColdRemainingMs"] = 0;
    out["Seq"] = 1;
    if (settings_.events_ > 0)
    {
        out["Stage"] = "both";
        json model;
        model["Name"] = "m";
        model["Version"] = settings_.weights_;
        model["Adapters"] = json::array();
        out["Models"] = json::array({model});
    }
    return out.dump();
}

bool runner::start()
{
    if (!server_.start())
    {
        return false;
    }
    registry_.put("servers/" + settings_.id_, entry());
    return true;
}

void runner::crash()
{
    if (server_.is_up())
    {
        log_.add("runner " + settings_.id_ + " crashes");
    }
    server_.crash();
    std::scoped_lock const lock{mutex_};
    freed_.notify_all();
}

response runner::head_for(request const& asked, int status) const
{
    response out;
    out.status_ = status;
    auto const id = asked.header("tanagerlead-request-id");
    if (!id.empty())
    {
        out.headers_["Tanagerlead-Request-Id"] = id;
    }
    out.headers_["Keep-Alive"] = "timeout=" + std::to_string(idle_time / 1s);
    if (settings_.events_ > 0)
    {
        out.headers_["Tanagerlead-Weight-Versions"] =
            std::to_string(settings_.weights_);
    }
    return out;
}

bool runner::refuse(connection& from, request const& asked, int status)
{
    auto out = head_for(asked, status);
    out.headers_["Tanagerlead-Not-Executed"] = "1";
    out.headers_["Tanagerlead-Instance-Id"] = settings_.id_;
    log_.add("runner " + settings_.id_ + " turns away " +
             asked.header("tanagerlead-request-id") + " status " +
             std::to_string(status));
    if (may_copy())
    {
        // A shed request's answer names no request, as in the examples of
        // `fleetbench wire`.
        out.headers_.erase("Tanagerlead-Request-Id");
        from.late_bytes_ = to_text(out);
    }
    return from.write(to_text(out));
}

bool runner::may_copy()
{
    std::scoped_lock const lock{mutex_};
    ++answers_;
    if (copies_ >= settings_.late_copies_ * answers_)
    {
        return false;
    }
    ++copies_;
    return true;
}

bool runner::answer(connection& from, request const& asked)
{
    from.set_read_timeout(idle_time);
    if (!from.late_bytes_.empty())
    {
        log_.add("runner " + settings_.id_ + " sends its last refusal again " +
                 "after the head of " + asked.header("tanagerlead-request-id"));
        from.write(std::exchange(from.late_bytes_, {}));
    }
    if (asked.path() == "/health")
    {
        auto out = head_for(asked, 200);
        out.headers_["Tanagerlead-Instance-Id"] = settings_.id_;
        return from.write(to_text(out));
    }
    if (asked.header("tanagerlead-request-id").empty())
    {
        return refuse(from, asked, 400);
    }
    auto const instance = asked.header("tanagerlead-target-instance");
    auto const weights = asked.header("tanagerlead-expect-version");
    if ((!instance.empty() && instance != settings_.id_) ||
        (!weights.empty() && weights != std::to_string(settings_.weights_)))
    {
        return refuse(from, asked, 421);
    }
    if (!take_slot())
    {
        return refuse(from, asked, 503);
    }
    auto const keeps = serve(from, asked);
    give_slot();
    return keeps;
}

bool runner::take_slot()
{
    std::unique_lock lock{mutex_};
    if (running_ >= settings_.slots_ && waiting_ >= settings_.queue_)
    {
        return false;
    }
    ++waiting_;
    freed_.wait(lock, [this]
                { return running_ < settings_.slots_ || !server_.is_up(); });
    --waiting_;
    ++running_;
    return true;
}

void runner::give_slot()
{
    std::scoped_lock const lock{mutex_};
    --running_;
    freed_.notify_one();
}

// The last part belongs to the request itself and crashes nothing.
bool runner::is_deadly(request const& asked) const
{
    auto const parts = asked.header("tanagerlead-prompt-prefix");
    auto const shared = parts.substr(0, parts.rfind(','));
    return !settings_.deadly_part_.empty() && shared != parts &&
           shared.find(settings_.deadly_part_ + ":") != std::string::npos;
}

bool runner::serve(connection& from, request const& asked)
{
    if (!server_.is_up() || from.is_closed_by_peer())
    {
        return false;
    }
    settings_.on_run_(asked.header("tanagerlead-request-id"));
    log_.add("runner " + settings_.id_ + " runs " +
             asked.header("tanagerlead-request-id") + " " + asked.method_ +
             " " + asked.target_ + " after event " +
             asked.header("last-event-id"));
    return settings_.events_ > 0 ? stream(from, asked) : work(from, asked);
}

bool runner::work(connection& from, request const& asked)
{
    std::this_thread::sleep_for(settings_.work_);
    if (!server_.is_up())
    {
        return false;
    }
    auto out = head_for(asked, 200);
    {
        std::scoped_lock const lock{mutex_};
        ++answers_;
    }
    out.headers_["Tanagerlead-Server-Signature"] = "3e1b.07";
    out.body_ = std::string(settings_.answer_bytes_, 'd');
    return from.write(to_text(out));
}

bool runner::stream(connection& from, request const& asked)
{
    auto out = head_for(asked, 200);
    out.headers_["Tanagerlead-Server-Signature"] = "3e1b.07";
    out.headers_["Content-Type"] = "text/event-stream";
    out.headers_["transfer-encoding"] = "chunked";
    auto const first = std::atoi(asked.header("last-event-id").c_str()) + 1;
    std::this_thread::sleep_for(settings_.first_event_);
    if (is_deadly(asked))
    {
        crash();
        return false;
    }
    if (!from.write(to_text(out)))
    {
        return false;
    }
    for (auto id = first; id <= settings_.events_; ++id)
    {
        auto const event = "id: " + std::to_string(id) + "\ndata: piece " +
                           std::to_string(id) + "\n\n";
        if (!server_.is_up() || from.is_closed_by_peer() ||
            !from.write(to_chunk(event)))
        {
            return false;
        }
        if (id < settings_.events_)
        {
            std::this_thread::sleep_for(settings_.event_gap_);
        }
    }
    return from.write("0\r\n\r\n");
}

} // namespace tanagerlead::review
