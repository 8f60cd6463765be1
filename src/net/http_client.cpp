#include "src/net/http_client.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace tanagerlead::net
{

namespace
{

/// Larger answers are an error. A page of the store is about one megabyte.
constexpr std::size_t max_answer_bytes = 8 << 20;

} // namespace

/// One call, from its start until its answer, error or timeout.
class http_client::pending_call final
    : public answer_sink,
      public std::enable_shared_from_this<pending_call>
{
public:
    pending_call(http_client& owner, base::address peer, std::string step,
                 http_request request, response_callback done)
        : owner_{owner}, peer_{std::move(peer)}, step_{std::move(step)},
          request_{std::move(request)}, done_{std::move(done)},
          timer_{owner.loop_, [this]
                 {
                     on_timeout();
                 }}
    {
    }

    void start(call_limits const& limits)
    {
        progress_ = limits.progress_;
        on_progress_ = limits.on_progress_;
        timer_.set_after(limits.total_timeout_);
        if (auto kept = owner_.take_idle_channel(peer_))
        {
            channel_ = std::move(kept);
            send();
            return;
        }
        channel_ = std::make_shared<channel>(owner_.loop_, peer_);
        channel_->connect(
            std::min(limits.total_timeout_, limits.connect_timeout_),
            [self = weak_from_this()](error_code const& error)
            {
                if (auto const call = self.lock())
                {
                    call->on_connected(error);
                }
            });
    }

    void cancel()
    {
        done_ = nullptr;
        channel_->close();
    }

    head_action on_head(http_response const& head) override
    {
        answer_ = head;
        if (progress_)
        {
            timer_.set_after(progress_->window_);
        }
        return head_action::accept;
    }

    void on_body(std::string_view bytes) override
    {
        answer_.body_.append(bytes);
        if (answer_.body_.size() > max_answer_bytes)
        {
            channel_->close();
            on_broken("answer too large");
            return;
        }
        if (on_progress_)
        {
            on_progress_();
        }
    }

    void on_complete(answer_end /*end*/) override
    {
        if (channel_->is_reusable())
        {
            owner_.idle_channels_[peer_].push_back(channel_);
        }
        finish(std::move(answer_));
    }

    void on_broken(std::string const& detail) override
    {
        fail(base::error_code::unknown_effect, detail);
    }

private:
    void on_connected(error_code const& error)
    {
        if (error)
        {
            fail(base::error_code::not_sent, error.message());
            return;
        }
        send();
    }

    void send()
    {
        sent_ = true;
        channel_->exchange(request_, *this);
    }

    /// Whether the body arrived fast enough since the last check.
    bool has_progressed()
    {
        auto const received = answer_.body_.size() - checked_bytes_;
        checked_bytes_ = answer_.body_.size();
        return progress_ && received > 0 && received >= progress_->least_bytes_;
    }

    void on_timeout()
    {
        if (has_progressed())
        {
            timer_.set_after(progress_->window_);
            return;
        }
        channel_->close();
        fail(sent_ ? base::error_code::unknown_effect
                   : base::error_code::not_sent,
             "no answer in time");
    }

    void fail(base::error_code code, std::string detail)
    {
        finish(base::fail(code, step_, peer_.str(), std::move(detail)));
    }

    // Posts the callback instead of calling it here, since it may start the
    // next call and since this object is released.
    void finish(base::result<http_response> result)
    {
        timer_.clear();
        if (!done_)
        {
            return;
        }
        asio::post(owner_.loop_,
                   [self = shared_from_this(), done = std::move(done_),
                    result = std::move(result)]() mutable
                   { done(std::move(result)); });
        done_ = nullptr;
        owner_.calls_.erase(this);
    }

    http_client& owner_;
    base::address peer_;
    std::string step_;
    http_request request_;
    response_callback done_;
    deadline_timer timer_;
    std::shared_ptr<channel> channel_;
    http_response answer_;
    bool sent_ = false;
    std::optional<progress_limits> progress_;
    std::function<void()> on_progress_;
    /// Length of the body at the last check of its progress.
    std::size_t checked_bytes_ = 0;
};

http_client::~http_client()
{
    for (auto const& [key, call] : calls_)
    {
        call->cancel();
    }
    for (auto const& [peer, channels] : idle_channels_)
    {
        for (auto const& kept : channels)
        {
            kept->close();
        }
    }
}

std::shared_ptr<channel>
http_client::take_idle_channel(base::address const& peer)
{
    auto& kept = idle_channels_[peer];
    while (!kept.empty())
    {
        auto last = std::move(kept.back());
        kept.pop_back();
        if (last->is_reusable())
        {
            return last;
        }
        last->close();
    }
    return nullptr;
}

void http_client::call(base::address const& peer, std::string step,
                       http_request request, call_limits const& limits,
                       response_callback done)
{
    auto const call = std::make_shared<pending_call>(
        *this, peer, std::move(step), std::move(request), std::move(done));
    calls_.emplace(call.get(), call);
    call->start(limits);
}

} // namespace tanagerlead::net
