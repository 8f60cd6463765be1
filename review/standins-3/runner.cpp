#include "review/standins-3/runner.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace tanagerlead::review
{

namespace
{

constexpr std::size_t max_connections = 360;
constexpr std::size_t queued_per_slot = 6;
constexpr std::size_t endless_piece_bytes = 16384;

} // namespace

runner::runner(net::asio::io_context& loop, settings s, record& out)
    : loop_{loop}, settings_{std::move(s)}, record_{out},
      listener_{loop, max_connections,
                [this](connection_ptr const& from, net::http_request const& in)
                {
                    on_request(from, in);
                }}
{
    listener_.listen({"127.0.0.1", 0}).value();
}

std::string runner::entry() const
{
    return nlohmann::json{{"Service", settings_.service_},
                          {"Address", listener_.local_address().str()},
                          {"Zone", settings_.zone_},
                          {"Version", settings_.version_},
                          {"Slots", settings_.slots_},
                          {"State", "ready"},
                          {"ColdRemainingMs", 0},
                          {"Seq", 1}}
        .dump();
}

void runner::refuse(connection_ptr const& from, int status,
                    std::string const& id)
{
    net::http_response response;
    response.status_ = status;
    response.headers_.add("Tanagerlead-Request-Id", id);
    response.headers_.add("Tanagerlead-Not-Executed", "1");
    from->answer(response);
}

void runner::on_request(connection_ptr const& from, net::http_request const& in)
{
    auto const id = in.headers_.value("Tanagerlead-Request-Id");
    if (in.headers_.value("Tanagerlead-Target-Instance") != settings_.id_)
    {
        refuse(from, 421, id);
        return;
    }
    auto const room =
        static_cast<std::size_t>(settings_.slots_) * (1 + queued_per_slot);
    if (runs_.size() >= room)
    {
        refuse(from, 503, id);
        return;
    }
    record_.on_run(id, settings_.id_, trouble_ == runner_trouble::none);
    auto const fresh = std::make_shared<run>();
    auto* const r = fresh.get();
    r->to_ = from;
    r->id_ = id;
    r->trouble_ = trouble_;
    auto const last = in.headers_.value("Last-Event-Id");
    r->next_event_ = last.empty() ? 1 : std::stoi(last) + 1;
    r->due_ = std::make_unique<net::deadline_timer>(loop_,
                                                    [this, r] { advance(*r); });
    runs_.emplace(r, fresh);
    from->on_disconnect([this, r] { end(*r); });
    r->due_->set_after(settings_.work_);
}

net::http_response runner::head_for(run const& r) const
{
    net::http_response head;
    head.status_ = 200;
    head.headers_.add("Tanagerlead-Request-Id", r.id_);
    head.headers_.add("Tanagerlead-Server-Signature", "signed-" + r.id_);
    head.headers_.add("Content-Type", settings_.streams_
                                          ? "text/event-stream"
                                          : "application/octet-stream");
    return head;
}

void runner::advance(run& r)
{
    if (r.trouble_ == runner_trouble::endless)
    {
        send_endless(r);
    }
    else if (settings_.streams_)
    {
        send_event(r);
    }
    else
    {
        auto answer = head_for(r);
        answer.body_.assign(settings_.answer_bytes_, 'a');
        auto const to = r.to_;
        end(r);
        to->answer(answer);
    }
}

void runner::send_event(run& r)
{
    if (!std::exchange(r.has_begun_, true))
    {
        r.to_->begin_answer(head_for(r));
    }
    auto const to = r.to_;
    if (r.next_event_ > settings_.events_)
    {
        end(r);
        to->end_answer();
        return;
    }
    to->send_chunk("id: " + std::to_string(r.next_event_) + "\ndata: " + r.id_ +
                   " version " + settings_.version_ + "\n\n");
    ++r.next_event_;
    r.due_->set_after(settings_.event_time_);
}

void runner::send_endless(run& r)
{
    if (!std::exchange(r.has_begun_, true))
    {
        r.to_->begin_answer(head_for(r));
    }
    if (!r.to_->is_send_buffer_full())
    {
        r.to_->send_chunk(std::string(endless_piece_bytes, 'x'));
    }
    r.due_->set_after(settings_.endless_pause_);
}

// The destruction is deferred, since the timer of the run may be calling.
void runner::end(run& r)
{
    auto const found = runs_.find(&r);
    if (found != runs_.end())
    {
        net::asio::post(loop_, [ended = found->second] {});
        runs_.erase(found);
    }
}

} // namespace tanagerlead::review
