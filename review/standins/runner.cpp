#include "wire.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include <unistd.h>

namespace review
{

namespace
{

constexpr milliseconds heartbeat{1200};
constexpr milliseconds plain_work{30};
constexpr std::size_t plain_bytes = 800;
constexpr int queue_room = 36;

/// A runner: registers itself, runs requests in slots, and streams events that
/// name the software version that made them.
class runner
{
public:
    explicit runner(std::map<std::string, std::string> options)
        : options_{std::move(options)}, slots_{std::stoi(options_.at("slots"))},
          born_{std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()},
          at_{options_.at("ip"),
              static_cast<std::uint16_t>(std::stoi(options_.at("port")))},
          record_{options_.at("record"), false}
    {
    }

    int run()
    {
        auto const listener = listen_at(at_);
        if (listener < 0)
        {
            return 2;
        }
        std::thread{[this]
                    {
                        register_always();
                    }}
            .detach();
        while (auto made = accept_from(listener))
        {
            std::thread{
                [this, held = std::shared_ptr<connection>{std::move(made)}]
                {
                    serve(*held);
                }}
                .detach();
        }
        return 0;
    }

private:
    std::string const& option(char const* name) const
    {
        return options_.at(name);
    }

    void register_always()
    {
        nlohmann::json const entry{{"Service", option("service")},
                                   {"Address", at_.str()},
                                   {"Zone", option("zone")},
                                   {"Version", option("version")},
                                   {"Slots", slots_},
                                   {"State", "ready"},
                                   {"ColdRemainingMs", 0},
                                   {"Seq", 1},
                                   {"born", born_}};
        message request;
        request.first_line_ =
            "POST /runner/beat?Id=" + option("id") + " HTTP/1.1";
        auto const body = entry.dump();
        auto const text = request.head_text("Content-Length: " +
                                            std::to_string(body.size())) +
                          body;
        while (true)
        {
            auto const next = steady::now() + heartbeat;
            auto const with =
                connection::open(parse_address(option("store")), 500ms);
            if (with && with->send(text))
            {
                message answer;
                with->read_head(answer, steady::now() + 500ms);
            }
            std::this_thread::sleep_until(next);
        }
    }

    void serve(connection& with)
    {
        message request;
        while (with.read_request(request, steady::now() + 60s) == read_end::ok)
        {
            if (!answer(with, request))
            {
                return;
            }
        }
    }

    message answer_head(message const& request, int status) const
    {
        message out;
        out.first_line_ = "HTTP/1.1 " + std::to_string(status) + " x";
        out.add("Tanagerlead-Request-Id",
                request.value("Tanagerlead-Request-Id"));
        return out;
    }

    bool reject(connection& with, message const& request, int status) const
    {
        auto head = answer_head(request, status);
        head.add("Tanagerlead-Not-Executed", "1");
        return with.send(head.head_text("Content-Length: 0"));
    }

    bool take_slot()
    {
        std::unique_lock hold{lock_};
        if (running_ + waiting_ >= slots_ + queue_room)
        {
            return false;
        }
        ++waiting_;
        freed_.wait(hold, [this] { return running_ < slots_; });
        --waiting_;
        ++running_;
        return true;
    }

    void free_slot()
    {
        std::lock_guard const hold{lock_};
        --running_;
        freed_.notify_one();
    }

    bool answer(connection& with, message const& request)
    {
        if (request.value("Tanagerlead-Target-Instance") != option("id"))
        {
            return reject(with, request, 421);
        }
        auto const until =
            steady::now() +
            milliseconds{std::stoll(request.value("Tanagerlead-Deadline-Ms"))};
        if (!take_slot())
        {
            return reject(with, request, 503);
        }
        auto const path = request.word(1);
        auto const goes_on = path.starts_with("/draft/")
                                 ? stream(with, request, path, until)
                                 : answer_plain(with, request);
        free_slot();
        return goes_on;
    }

    void note_run(message const& request, std::string const& what)
    {
        record_.write("run by " + option("id") + " version " +
                      option("version") + " request " +
                      request.value("Tanagerlead-Request-Id") + what);
    }

    bool answer_plain(connection& with, message const& request)
    {
        note_run(request,
                 " body bytes " + std::to_string(request.body_.size()));
        std::this_thread::sleep_for(plain_work);
        // `/report/BYTES/...` has a longer answer.
        auto const path = request.word(1);
        auto const bytes = path.starts_with("/report/")
                               ? std::stoul(path.substr(8))
                               : plain_bytes;
        auto head = answer_head(request, 200);
        head.add("Tanagerlead-Server-Signature", "s." + option("id"));
        return with.send(
            head.head_text("Content-Length: " + std::to_string(bytes)) +
            std::string(bytes, 'x'));
    }

    /// The path is `/draft/EVENTS/MILLISECONDS/...`.
    bool stream(connection& with, message const& request,
                std::string const& path, steady::time_point until)
    {
        auto const second = path.find('/', 7);
        auto const events = std::stoi(path.substr(7, second - 7));
        milliseconds const pause{std::stoi(path.substr(second + 1))};
        auto const last = request.value("Last-Event-Id");
        auto const first = last.empty() ? 1 : std::stoi(last) + 1;
        note_run(request, " from event " + std::to_string(first));
        auto head = answer_head(request, 200);
        head.add("Tanagerlead-Server-Signature", "s." + option("id"));
        head.add("Content-Type", "text/event-stream");
        auto const is_framed = option("framing") == "chunked";
        auto ok = with.send(head.head_text(
            is_framed ? "Transfer-Encoding: chunked" : "Connection: close"));
        for (int i = first; ok && i <= events; ++i)
        {
            std::this_thread::sleep_for(pause);
            ok = steady::now() < until && !with.has_peer_left() &&
                 send_event(with, i, is_framed);
        }
        if (!ok)
        {
            with.reset_at_end();
            return false;
        }
        return is_framed && with.send("0\r\n\r\n");
    }

    bool send_event(connection& with, int number, bool is_framed) const
    {
        auto const event = "id: " + std::to_string(number) +
                           "\ndata: " + option("version") + "\n\n";
        if (!is_framed)
        {
            return with.send(event);
        }
        std::array<char, 16> size{};
        (void)std::snprintf(size.data(), size.size(), "%zx", event.size());
        return with.send(std::string{size.data()} + "\r\n" + event + "\r\n");
    }

    std::map<std::string, std::string> options_;
    int slots_;
    std::int64_t born_;
    address at_;
    record_file record_;
    std::mutex lock_;
    std::condition_variable freed_;
    int running_ = 0;
    int waiting_ = 0;
};

} // namespace

} // namespace review

/// Arguments are `NAME=VALUE`.
int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::map<std::string, std::string> options;
    for (int i = 1; i < argc; ++i)
    {
        std::string const text{argv[i]};
        auto const equals = text.find('=');
        options[text.substr(0, equals)] = text.substr(equals + 1);
    }
    return review::runner{std::move(options)}.run();
}
