#include "caller.hpp"

#include <algorithm>

namespace review
{

namespace
{

constexpr auto directory_time = 2s;

} // namespace

caller::caller(fleet& served, int number, std::string zone)
    : fleet_{served}, number_{number}, zone_{std::move(zone)},
      random_{static_cast<unsigned>(number) * 7919U +
              static_cast<unsigned>(steady::now().time_since_epoch().count() &
                                    0xffff)}
{
}

bool caller::connect()
{
    if (steady::now() > keep_until_ || addresses_.empty())
    {
        auto found = fleet_.resolve(random_(), zone_);
        if (!found.empty())
        {
            addresses_ = std::move(found);
            keep_until_ = steady::now() + directory_time;
        }
    }
    if (addresses_.empty())
    {
        return false;
    }
    auto const chosen = random_() % addresses_.size();
    at_ = addresses_[chosen];
    kept_ = connection::open(at_, 1000ms);
    has_served_ = false;
    if (!kept_)
    {
        addresses_.erase(addresses_.begin() +
                         static_cast<std::ptrdiff_t>(chosen));
    }
    return kept_ != nullptr;
}

outcome caller::send(std::string const& path, std::string const& body,
                     milliseconds limit, std::string const& resumes,
                     int last_event)
{
    outcome out;
    id_ = "q" + std::to_string(number_) + "-" + std::to_string(++count_);
    if (!kept_ && !connect())
    {
        return out;
    }
    was_kept_ = has_served_;
    message request;
    request.first_line_ = "POST " + path + " HTTP/1.1";
    request.add("Host", "shops.example");
    request.add("Tanagerlead-Request-Id", id_);
    request.add("Tanagerlead-Deadline-Ms", std::to_string(limit.count()));
    request.add("Tanagerlead-Model", "m");
    request.add("Tanagerlead-Token-Usage", "540,280");
    request.add("Tanagerlead-Prompt-Prefix",
                "a" + std::to_string(number_ % 4) + ":60,c" +
                    std::to_string(number_ * 1000 + count_) + ":480");
    if (last_event > 0)
    {
        request.add("Resumes", resumes);
        request.add("Last-Event-Id", std::to_string(last_event));
    }
    out.last_event_ = last_event;
    fleet_.record().write("sent " + id_ + " to " + at_.str() +
                          (last_event > 0 ? " resumes " + resumes + " after " +
                                                std::to_string(last_event)
                                          : std::string{}));
    auto const until = std::min(steady::now() + limit + 500ms, leave_at_);
    if (kept_->send(request.head_text("Content-Length: " +
                                      std::to_string(body.size()))) &&
        kept_->send(body))
    {
        read_answer(out, until);
    }
    fleet_.record().write("answered " + id_ + " status " +
                          std::to_string(out.status_) +
                          (out.is_whole_ ? " whole" : " broken off") +
                          " last event " + std::to_string(out.last_event_));
    has_served_ = true;
    if (!out.is_whole_ || out.says_close_)
    {
        kept_.reset();
    }
    return out;
}

void caller::read_answer(outcome& out, steady::time_point until)
{
    message head;
    if (kept_->read_head(head, until) != read_end::ok)
    {
        return;
    }
    out.status_ = head.status();
    out.says_close_ = head.value("Connection") == "close";
    if (head.value("Transfer-Encoding") != "chunked")
    {
        out.is_whole_ = kept_->read_body(head, until) == read_end::ok;
        out.body_ = head.body_;
        return;
    }
    std::string chunk;
    std::string pending;
    while (kept_->read_chunk(chunk, until) == read_end::ok)
    {
        if (chunk.empty())
        {
            out.is_whole_ = true;
            return;
        }
        pending += chunk;
        add_events(pending, out);
    }
}

void caller::add_events(std::string& pending, outcome& out)
{
    for (auto end = pending.find("\n\n"); end != std::string::npos;
         end = pending.find("\n\n"))
    {
        auto const event = pending.substr(0, end);
        pending.erase(0, end + 2);
        out.last_event_ = std::stoi(event.substr(event.find("id: ") + 4));
        out.events_.push_back(event.substr(event.find("data: ") + 6));
    }
}

} // namespace review
