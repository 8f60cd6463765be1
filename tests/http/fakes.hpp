#pragma once

#include "src/config/digest.hpp"
#include "src/config/source.hpp"
#include "src/request/claim_store.hpp"
#include "src/request/dispatcher.hpp"
#include "tests/fakes/blocking_server.hpp"

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <vector>

/// In-process stand-ins for what the caller API works with.
namespace tanagerlead::test
{

constexpr auto long_enough = std::chrono::seconds{20};

/// Grants or refuses as the test says; logs what it hears.
class scripted_dispatcher final : public request::dispatcher
{
public:
    using decider = std::function<void(request::decision const&)>;

    /// Decides each submission at once, in this order; the last one stays.
    void answer_with(std::vector<request::decision> decisions)
    {
        std::lock_guard const lock{mutex_};
        script_ = {decisions.begin(), decisions.end()};
    }

    /// Keeps submissions until `release`.
    void hold()
    {
        std::lock_guard const lock{mutex_};
        holding_ = true;
    }

    void release()
    {
        std::vector<decider> waiting;
        {
            std::lock_guard const lock{mutex_};
            holding_ = false;
            waiting.swap(held_);
        }
        for (auto const& each : waiting)
        {
            each(next());
        }
    }

    void submit(sched::work_item item, decider decided) override
    {
        note("submit", item);
        decide(std::move(decided));
    }

    void resubmit(sched::work_item item, decider decided) override
    {
        note("resubmit", item);
        decide(std::move(decided));
    }

    void withdraw(base::request_id /*request*/) override { add("withdraw"); }

    void report(sched::dispatch_report event) override
    {
        static constexpr char const* names[] = {
            "started",  "first_token",  "finished",    "cancelled",
            "not_sent", "target_error", "target_lost", "declined"};
        {
            std::lock_guard const lock{mutex_};
            reports_.push_back(event);
        }
        add(names[static_cast<std::size_t>(event.event_)]);
    }

    bool wait_for(std::string const& entry, int count = 1)
    {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(
            lock, long_enough,
            [&]
            { return std::count(log_.begin(), log_.end(), entry) >= count; });
    }

    /// Everything heard, joined by spaces.
    std::string log()
    {
        std::lock_guard const lock{mutex_};
        std::string text;
        for (auto const& each : log_)
        {
            text += (text.empty() ? "" : " ") + each;
        }
        return text;
    }

    std::vector<sched::work_item> items()
    {
        std::lock_guard const lock{mutex_};
        return items_;
    }

    std::vector<sched::dispatch_report> reports()
    {
        std::lock_guard const lock{mutex_};
        return reports_;
    }

private:
    void note(char const* what, sched::work_item const& item)
    {
        {
            std::lock_guard const lock{mutex_};
            items_.push_back(item);
        }
        add(what);
    }

    void add(std::string entry)
    {
        std::lock_guard const lock{mutex_};
        log_.push_back(std::move(entry));
        changed_.notify_all();
    }

    request::decision next()
    {
        std::lock_guard const lock{mutex_};
        auto result = script_.front();
        if (script_.size() > 1)
        {
            script_.pop_front();
        }
        return result;
    }

    void decide(decider decided)
    {
        {
            std::lock_guard const lock{mutex_};
            if (holding_)
            {
                held_.push_back(std::move(decided));
                return;
            }
        }
        decided(next());
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<request::decision> script_;
    std::vector<decider> held_;
    bool holding_ = false;
    std::vector<std::string> log_;
    std::vector<sched::work_item> items_;
    std::vector<sched::dispatch_report> reports_;
};

class fixed_source final : public config::source
{
public:
    config::snapshot current() const override
    {
        std::lock_guard const lock{mutex_};
        return snapshot_;
    }

    void subscribe(
        std::function<void(config::snapshot const&)> /*listener*/) override
    {
    }

    void set(config::configuration configuration)
    {
        std::lock_guard const lock{mutex_};
        snapshot_ = std::make_shared<config::configuration const>(
            std::move(configuration));
    }

private:
    mutable std::mutex mutex_;
    config::snapshot snapshot_ =
        std::make_shared<config::configuration const>();
};

class memory_claims final : public request::claim_store
{
public:
    base::result<request::claim> acquire(request::claim const& wanted) override
    {
        std::lock_guard const lock{mutex_};
        if (failing_)
        {
            return base::fail(base::error_code::unavailable, "write claim",
                              "store", "down");
        }
        ++acquired_;
        return claims_.try_emplace(name_of(wanted), wanted).first->second;
    }

    void fail(bool failing)
    {
        std::lock_guard const lock{mutex_};
        failing_ = failing;
    }

    void put(request::claim const& claim)
    {
        std::lock_guard const lock{mutex_};
        claims_[name_of(claim)] = claim;
    }

    int acquired() const
    {
        std::lock_guard const lock{mutex_};
        return acquired_;
    }

private:
    static std::string name_of(request::claim const& claim)
    {
        return claim.workspace_.str() + ' ' + claim.key_;
    }

    mutable std::mutex mutex_;
    std::map<std::string, request::claim> claims_;
    int acquired_ = 0;
    bool failing_ = false;
};

class fixed_entries final : public request::entry_directory
{
public:
    std::vector<request::entry_address>
    entries_for(base::workspace_id const& /*workspace*/,
                std::vector<base::pool_id> const& /*pools*/) const override
    {
        std::lock_guard const lock{mutex_};
        return entries_;
    }

    base::address address_of(std::uint64_t origin) const override
    {
        std::lock_guard const lock{mutex_};
        auto const found = by_origin_.find(origin);
        return found != by_origin_.end() ? found->second : base::address{};
    }

    bool accepts_work() const override
    {
        std::lock_guard const lock{mutex_};
        return accepts_;
    }

    void add(base::daemon_id const& daemon, std::uint64_t origin,
             base::address const& address)
    {
        std::lock_guard const lock{mutex_};
        entries_.push_back({daemon, address});
        by_origin_[origin] = address;
    }

    void accept(bool accepts)
    {
        std::lock_guard const lock{mutex_};
        accepts_ = accepts;
    }

private:
    mutable std::mutex mutex_;
    std::vector<request::entry_address> entries_;
    std::map<std::uint64_t, base::address> by_origin_;
    bool accepts_ = true;
};

/// A target that plays a script and logs the calls it got.
class scripted_target
{
public:
    using handler = httplib::Server::Handler;

    scripted_target() : server_{{{"127.0.0.1", 0}}}
    {
        auto const play =
            [this](httplib::Request const& request, httplib::Response& response)
        {
            handler act;
            {
                std::lock_guard const lock{mutex_};
                calls_.push_back(request);
                auto const found = handlers_.find(request.method);
                act = found != handlers_.end() ? found->second : nullptr;
                changed_.notify_all();
            }
            response.set_header("X-Request-Id",
                                request.get_header_value("X-Request-Id"));
            if (act)
            {
                act(request, response);
            }
        };
        server_.routes().Get(".*", play);
        server_.routes().Post(".*", play);
        server_.routes().Delete(".*", play);
    }

    ~scripted_target() { stop(); }

    void on(std::string const& method, handler act)
    {
        std::lock_guard const lock{mutex_};
        handlers_[method] = std::move(act);
    }

    void start() { server_.start().value(); }
    void stop() { server_.stop(); }
    base::address address() const { return server_.local_address(); }

    /// Calls so far as "METHOD path", joined by commas.
    std::string log()
    {
        std::lock_guard const lock{mutex_};
        std::string text;
        for (auto const& each : calls_)
        {
            text += (text.empty() ? "" : ",") + each.method + ' ' + each.path;
        }
        return text;
    }

    int count(std::string const& method)
    {
        std::lock_guard const lock{mutex_};
        return static_cast<int>(count_locked(method));
    }

    bool wait_for(std::string const& method, int wanted = 1)
    {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(
            lock, long_enough, [&] { return count_locked(method) >= wanted; });
    }

    httplib::Request call(std::size_t index)
    {
        std::lock_guard const lock{mutex_};
        return calls_.at(index);
    }

private:
    long count_locked(std::string const& method) const
    {
        return std::count_if(calls_.begin(), calls_.end(),
                             [&](httplib::Request const& each)
                             { return each.method == method; });
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, handler> handlers_;
    std::vector<httplib::Request> calls_;
    fakes::blocking_server server_;
};

/// Lets a test hold something back until it says so.
class gate
{
public:
    void open()
    {
        std::lock_guard const lock{mutex_};
        open_ = true;
        changed_.notify_all();
    }

    void wait()
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, long_enough, [this] { return open_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool open_ = false;
};

} // namespace tanagerlead::test
