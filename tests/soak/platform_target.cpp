#include "tests/soak/platform_target.hpp"

#include <boost/asio/post.hpp>

namespace tanagerlead::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_runs = 12;
constexpr base::duration plain_time = 8ms;
/// The same at a brittle target, which so has too little room for all callers.
constexpr base::duration brittle_plain_time = 80ms;
/// Requests that may wait at a brittle target.
constexpr std::size_t brittle_queue = 1;
/// Time after the first statement from which a brittle target may fall over.
constexpr base::duration brittle_reaction_time = 3s;
constexpr base::duration rejection_window = 1s;
constexpr base::duration event_time = 10ms;

/// Time within which every daemon must have heard of a shutdown from the
/// others.
constexpr base::duration leaving_reaction_time = 2s;
/// Time within which daemons must keep a limit, and what it allows in a window.
constexpr base::duration limit_reaction_time = 3s;
constexpr base::duration limit_window = 4s;
constexpr double limit_factor = 1.5;
constexpr double limit_slack = 5;
/// Time within which a departure that the store has accepted must count.
constexpr base::duration departure_time = 2s;
/// Time within which a daemon must respect a pause.
constexpr base::duration pause_reaction_time = 500ms;
/// Requests that may arrive in a pause after that time: two from each of the
/// four daemons.
constexpr int max_arrivals_in_pause = 8;

} // namespace

std::string expected_body(std::string const& id)
{
    return "the answer to " + id;
}

int expected_events(std::string const& id)
{
    constexpr int least = 3;
    constexpr std::size_t most_more = 12;
    return least + static_cast<int>(std::hash<std::string>{}(id) % most_more);
}

platform_target::platform_target(net::asio::io_context& loop, ledger& recorder,
                                 int number)
    : loop_{loop}, ledger_{recorder}, number_{number},
      listener_{loop, 1000,
                [this](auto const& from, auto const& in)
                {
                    on_request(from, in);
                }}
{
}

net::http_response platform_target::head_for(std::string const& id) const
{
    net::http_response head;
    head.status_ = 200;
    head.headers_.add("Tanagerlead-Request-Id", id);
    head.headers_.add("Tanagerlead-Server-Signature", "proof-" + id);
    add_statements(head);
    return head;
}

void platform_target::add_statements(net::http_response& head) const
{
    if (is_leaving_)
    {
        head.headers_.add("Server-Leaving", "1");
    }
    if (limit_ > 0)
    {
        head.headers_.add("Server-Limit", std::to_string(limit_));
    }
    if (max_rejections_ > 0)
    {
        head.headers_.add("Server-Brittle", std::to_string(max_rejections_));
    }
}

void platform_target::set_limit(double per_second)
{
    limit_ = per_second;
    limited_at_ = net::now();
    arrivals_.clear();
}

void platform_target::check_limit()
{
    auto const now = net::now();
    arrivals_.push_back(now);
    while (arrivals_.front() <= now - limit_window)
    {
        arrivals_.pop_front();
    }
    auto const allowed =
        limit_factor * limit_ * base::seconds(limit_window) + limit_slack;
    // The whole window lies behind the time in which the limit is learned.
    if (limit_ > 0 && now - limited_at_ > limit_reaction_time + limit_window &&
        static_cast<double>(arrivals_.size()) > allowed)
    {
        on_too_many_(now - limit_window - limit_reaction_time);
        arrivals_.clear();
    }
}

void platform_target::set_brittle(int max_rejections)
{
    max_rejections_ = max_rejections;
    brittle_since_ = net::now();
    rejections_.clear();
}

bool platform_target::is_stably_brittle() const
{
    return max_rejections_ > 0 &&
           net::now() - brittle_since_ > brittle_reaction_time;
}

std::size_t platform_target::room() const
{
    return is_stably_brittle() ? target_slots + brittle_queue : max_runs;
}

void platform_target::check_rejections()
{
    auto const now = net::now();
    if (!is_stably_brittle() || is_falling_)
    {
        return;
    }
    rejections_.push_back(now);
    while (rejections_.front() <= now - rejection_window)
    {
        rejections_.pop_front();
    }
    if (rejections_.size() > static_cast<std::size_t>(max_rejections_))
    {
        is_falling_ = true;
        on_fall_();
    }
}

void platform_target::announce_leaving()
{
    is_leaving_ = true;
}

void platform_target::turn_away(base::duration pause)
{
    turned_away_at_ = net::now();
    paused_until_ = turned_away_at_ + pause;
    arrivals_in_pause_ = 0;
}

void platform_target::check_wanted()
{
    auto const now = net::now();
    if (departed_at_ && now - *departed_at_ > departure_time)
    {
        on_departed_request_();
    }
    if (is_leaving_)
    {
        if (announced_at_ && now - *announced_at_ > leaving_reaction_time)
        {
            on_unwanted_(*announced_at_);
        }
        announced_at_ = announced_at_.value_or(now);
    }
    if (now < paused_until_ && now - turned_away_at_ > pause_reaction_time &&
        ++arrivals_in_pause_ > max_arrivals_in_pause)
    {
        on_unwanted_(turned_away_at_);
    }
}

base::result<void> platform_target::start()
{
    is_leaving_ = false;
    is_falling_ = false;
    rejections_.clear();
    limit_ = 0;
    arrivals_.clear();
    announced_at_.reset();
    departed_at_.reset();
    paused_until_ = {};
    id_ = "t" + std::to_string(number_) + "-" + std::to_string(++incarnation_);
    auto listening = listener_.listen(address_);
    if (listening)
    {
        address_ = listener_.local_address();
    }
    return listening;
}

void platform_target::crash()
{
    listener_.stop_accepting();
    runs_.clear();
    listener_.abort_all();
}

void platform_target::restart()
{
    if (auto const listening = start(); !listening)
    {
        ledger_.fail("stand-in " + id_ + ": " + listening.error().str());
    }
}

void platform_target::refuse(connection_ptr const& from, int status,
                             std::string const& id)
{
    net::http_response response;
    response.status_ = status;
    response.headers_.add("Tanagerlead-Request-Id", id);
    response.headers_.add("Tanagerlead-Not-Executed", "1");
    add_statements(response);
    if (net::now() < paused_until_ && status == 503)
    {
        net::set_retry_after(response, paused_until_ - net::now());
    }
    from->answer(response);
}

void platform_target::on_request(connection_ptr const& from,
                                 net::http_request const& in)
{
    auto const id = in.headers_.value("Tanagerlead-Request-Id");
    if (in.headers_.value("Tanagerlead-Target-Instance") != id_)
    {
        refuse(from, 421, id);
        return;
    }
    check_wanted();
    check_limit();
    if (net::now() < paused_until_)
    {
        refuse(from, 503, id);
        return;
    }
    if (runs_.size() >= room())
    {
        refuse(from, 503, id);
        check_rejections();
        return;
    }
    ledger_.on_run(id);
    if (does_crash_(in.headers_.value("Tanagerlead-Prompt-Prefix")))
    {
        // The connection breaks with the target.
        return;
    }
    auto const fresh = std::make_shared<run>(run{from, id, id, 1, nullptr});
    auto* const r = fresh.get();
    runs_.emplace(r, fresh);
    from->on_disconnect([this, r] { end(*r); });
    if (in.target_.starts_with("/stream/"))
    {
        auto const last = in.headers_.value("Last-Event-Id");
        r->next_event_ = last.empty() ? 1 : std::stoi(last) + 1;
        auto const resumed = in.headers_.value("Resumes");
        r->first_id_ = resumed.empty() ? id : resumed;
        ledger_.on_stream(r->first_id_, version(), !last.empty());
        auto head = head_for(id);
        head.headers_.add("Content-Type", "text/event-stream");
        from->begin_answer(head);
        r->due_ = std::make_unique<net::deadline_timer>(loop_, [this, r]
                                                        { answer_event(*r); });
        r->due_->set_after(event_time);
        return;
    }
    r->due_ = std::make_unique<net::deadline_timer>(loop_, [this, r]
                                                    { answer_plain(*r); });
    r->due_->set_after(max_rejections_ > 0 ? brittle_plain_time : plain_time);
}

void platform_target::answer_plain(run& r)
{
    auto response = head_for(r.id_);
    response.body_ = expected_body(r.id_);
    auto const to = r.to_;
    end(r);
    to->answer(response);
}

void platform_target::answer_event(run& r)
{
    auto const to = r.to_;
    if (r.next_event_ > expected_events(r.first_id_))
    {
        end(r);
        to->end_answer();
        return;
    }
    auto const number = std::to_string(r.next_event_);
    to->send_chunk("id: " + number + "\ndata: " + r.first_id_ + " " + number +
                   "\n\n");
    ++r.next_event_;
    r.due_->set_after(event_time);
}

// The destruction is deferred, since the timer of the run may be calling.
void platform_target::end(run& r)
{
    auto const found = runs_.find(&r);
    if (found != runs_.end())
    {
        net::asio::post(loop_, [ended = found->second] {});
        runs_.erase(found);
    }
}

} // namespace tanagerlead::soak
