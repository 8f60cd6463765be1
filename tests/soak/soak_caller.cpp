#include "tests/soak/soak_caller.hpp"

#include "tests/soak/platform_target.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace tanagerlead::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr base::duration time_limit = 3s;
/// For the last bytes and a busy machine.
constexpr base::duration late_margin = 2s;
constexpr base::duration directory_patience = 1s;
constexpr base::duration connect_patience = 1s;
constexpr int directory_tries = 3;
/// Of the requests, while there is a part that crashes targets.
constexpr double crashing_fraction = 0.03;
constexpr int prompt_beginnings = 4;
/// `Retry-After` of requests that crash targets.
constexpr std::string_view quarantine_retry_after = "60.000";

} // namespace

soak_caller::soak_caller(net::asio::io_context& loop, soak_fleet const& fleet,
                         ledger& recorder, int number, std::uint64_t seed)
    : loop_{loop}, fleet_{fleet}, ledger_{recorder}, number_{number},
      random_{seed}, client_{loop}, next_{loop,
                                          [this]
                                          {
                                              begin();
                                          }},
      late_{loop, [this]
            {
                on_late();
            }}
{
}

soak_caller::~soak_caller()
{
    if (channel_)
    {
        channel_->close();
    }
}

base::duration soak_caller::pause()
{
    constexpr double mean_seconds = 0.03;
    return base::from_seconds(2 * mean_seconds * random_.uniform());
}

void soak_caller::begin()
{
    if (stopping_)
    {
        return;
    }
    if (channel_ && channel_->is_reusable())
    {
        send();
        return;
    }
    if (net::now() < keep_until_ && !addresses_.empty())
    {
        connect();
        return;
    }
    ask(directory_tries);
}

void soak_caller::ask(int tries_left)
{
    auto const all = fleet_.directories();
    if (tries_left == 0 || all.empty())
    {
        next_.set_after(pause());
        return;
    }
    net::http_request request{
        "GET", "/v1/resolve?Name=soak.example&Region=r&Zone=z0", {}, {}};
    request.headers_.add("Host", "directory");
    client_.call(all[random_.below(all.size())], "resolve", std::move(request),
                 {directory_patience},
                 [this, tries_left](auto const& answer)
                 { on_answer_where(answer, tries_left); });
}

void soak_caller::on_answer_where(
    base::result<net::http_response> const& answer, int tries_left)
{
    if (!answer || answer.value().status_ != 200)
    {
        ask(tries_left - 1);
        return;
    }
    auto const body = nlohmann::json::parse(answer.value().body_);
    addresses_.clear();
    for (auto const& each : body.at("Addresses"))
    {
        addresses_.push_back(
            base::parse_address(each.get<std::string>()).value());
    }
    keep_until_ =
        net::now() + base::from_seconds(body.at("TtlS").get<double>());
    connect();
}

void soak_caller::connect()
{
    channel_ = std::make_shared<net::channel>(
        loop_, addresses_[random_.below(addresses_.size())]);
    channel_->connect(connect_patience,
                      [this](net::error_code const& error)
                      {
                          if (error)
                          {
                              // It avoids addresses that failed it.
                              std::erase(addresses_, channel_->peer());
                              next_.set_after(pause());
                              return;
                          }
                          send();
                      });
}

void soak_caller::send()
{
    static constexpr std::array paths{"/plain/", "/post/", "/stream/"};
    id_ = "c" + std::to_string(number_) + "-" + std::to_string(++count_);
    if (last_event_ == 0)
    {
        kind_ = static_cast<request_kind>(random_.below(paths.size()));
        first_id_ = id_;
    }
    sent_at_ = net::now();
    answer_ = {};
    ledger_.on_sent(id_, kind_, number_ % 2 != 0);
    net::http_request request{
        "POST",
        std::string{paths.at(static_cast<std::size_t>(kind_))} + id_,
        {},
        "body of " + id_};
    request.headers_.add("Host", "soak.example");
    request.headers_.add("Tanagerlead-Request-Id", id_);
    request.headers_.add(
        "Tanagerlead-Deadline-Ms",
        std::to_string(static_cast<int>(base::milliseconds(time_limit))));
    request.headers_.add("Tanagerlead-Prompt-Prefix", make_prompt_parts());
    if (last_event_ > 0)
    {
        request.headers_.add("Resumes", first_id_);
        request.headers_.add("Last-Event-Id", std::to_string(last_event_));
    }
    request.headers_.add("X-Api-Key", number_ % 2 == 0 ? "key-a" : "key-b");
    late_.set_after(time_limit + late_margin);
    channel_->exchange(request, *this);
}

std::string soak_caller::make_prompt_parts()
{
    auto const bad = fleet_.crashing_part();
    is_crashing_ = !bad.empty() && random_.uniform() < crashing_fraction;
    auto parts = "a" + std::to_string(number_ % prompt_beginnings) + ":50,";
    if (is_crashing_)
    {
        parts += bad + ":20,";
    }
    return parts + std::to_string(number_) + "c" + std::to_string(count_) +
           ":9";
}

net::head_action soak_caller::on_head(net::http_response const& head)
{
    answer_ = head;
    return net::head_action::accept;
}

void soak_caller::on_body(std::string_view bytes)
{
    answer_.body_.append(bytes);
}

void soak_caller::on_complete(net::answer_end /*end*/)
{
    if (answer_.status_ == 200)
    {
        check_whole();
    }
    check_refusal();
    last_event_ = 0;
    finish(answer_.status_);
}

void soak_caller::check_whole()
{
    if (answer_.headers_.value("Tanagerlead-Request-Id") != id_)
    {
        ledger_.fail("request " + id_ + " got an answer of another");
        return;
    }
    if (kind_ == request_kind::stream)
    {
        check_events();
    }
    else if (answer_.body_ != expected_body(id_))
    {
        ledger_.fail("request " + id_ + " got another body: " + answer_.body_);
    }
}

void soak_caller::check_refusal()
{
    if (!is_crashing_ && answer_.status_ == 503 &&
        answer_.headers_.value("Retry-After") == quarantine_retry_after)
    {
        ledger_.fail("request " + id_ +
                     " was refused as one that crashes targets");
    }
}

void soak_caller::check_events()
{
    std::string whole;
    for (int i = last_event_ + 1; i <= expected_events(first_id_); ++i)
    {
        auto const number = std::to_string(i);
        whole.append("id: ").append(number).append("\ndata: ");
        whole.append(first_id_).append(" ").append(number).append("\n\n");
    }
    if (answer_.body_ != whole)
    {
        ledger_.fail("stream " + id_ +
                     " ended and was not whole: " + answer_.body_);
    }
}

// A stream that broke off is taken up once, at any daemon.
void soak_caller::on_broken(std::string const& /*detail*/)
{
    auto const was_taken_up = last_event_ > 0;
    last_event_ = 0;
    if (kind_ == request_kind::stream && answer_.status_ == 200 &&
        !was_taken_up)
    {
        last_event_ = count_events(answer_.body_);
    }
    finish(0);
}

int soak_caller::count_events(std::string const& stream)
{
    constexpr std::string_view end_of_event = "\n\n";
    int count = 0;
    for (auto at = stream.find(end_of_event); at != std::string::npos;
         at = stream.find(end_of_event, at + end_of_event.size()))
    {
        ++count;
    }
    return count;
}

void soak_caller::on_late()
{
    auto const daemon = channel_->peer();
    if (fleet_.ran_since(daemon, sent_at_))
    {
        ledger_.fail("request " + id_ + " was held past its time at " +
                     daemon.str());
    }
    channel_->close();
    last_event_ = 0;
    finish(0);
}

void soak_caller::finish(int status)
{
    late_.clear();
    ledger_.on_end(std::exchange(id_, {}), status);
    next_.set_after(pause());
}

} // namespace tanagerlead::soak
