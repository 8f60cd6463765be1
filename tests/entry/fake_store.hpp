#pragma once

#include "src/entry/metadata_store.hpp"

#include <deque>
#include <string>

namespace tanagerlead::test
{

/// A store whose calls are recorded and answered one by one by the test.
class fake_store final : public entry::metadata_store
{
public:
    struct list_call
    {
        std::string prefix_;
        std::string after_;
        result_callback<entry::store_page> done_;
        progress_callback progress_;
    };

    struct watch_call
    {
        std::string prefix_;
        entry::store_revision after_;
        result_callback<entry::store_changes> done_;
        progress_callback progress_;
    };

    struct put_call
    {
        std::string key_;
        std::string value_;
        entry::store_lease lease_;
        result_callback<void> done_;
    };

    struct read_call
    {
        std::string key_;
        result_callback<entry::store_item> done_;
    };

    struct swap_call
    {
        std::string key_;
        entry::store_revision expected_;
        std::string value_;
        result_callback<entry::store_revision> done_;
    };

    void read(std::string const& key,
              result_callback<entry::store_item> done) override
    {
        reads_.push_back({key, std::move(done)});
    }
    void compare_and_swap(std::string const& key,
                          entry::store_revision expected,
                          std::string const& value, entry::store_lease,
                          result_callback<entry::store_revision> done) override
    {
        swaps_.push_back({key, expected, value, std::move(done)});
    }
    void list(std::string const& prefix, std::string const& after, bool,
              result_callback<entry::store_page> done,
              progress_callback progress) override
    {
        lists_.push_back({prefix, after, std::move(done), std::move(progress)});
    }
    void watch(std::string const& prefix, entry::store_revision after,
               base::duration, result_callback<entry::store_changes> done,
               progress_callback progress) override
    {
        watches_.push_back(
            {prefix, after, std::move(done), std::move(progress)});
    }
    void grant_lease(base::duration,
                     result_callback<entry::store_lease> done) override
    {
        grants_.push_back(std::move(done));
    }
    void renew_lease(entry::store_lease, result_callback<void> done) override
    {
        renewals_.push_back(std::move(done));
    }
    void remove(std::string const& key, result_callback<void> done) override
    {
        removed_.push_back(key);
        done(base::success());
    }
    void set_era_observer(era_callback observe) override
    {
        observe_era_ = std::move(observe);
    }
    void put(std::string const& key, std::string const& value,
             entry::store_lease lease, result_callback<void> done) override
    {
        puts_.push_back({key, value, lease, std::move(done)});
    }

    template <class Call>
    static Call take(std::deque<Call>& calls)
    {
        auto first = std::move(calls.front());
        calls.pop_front();
        return first;
    }

    std::deque<list_call> lists_;
    std::deque<watch_call> watches_;
    std::deque<result_callback<entry::store_lease>> grants_;
    std::deque<result_callback<void>> renewals_;
    std::deque<put_call> puts_;
    std::deque<read_call> reads_;
    std::deque<swap_call> swaps_;
    std::deque<std::string> removed_;
    era_callback observe_era_;
};

inline base::error store_error(base::error_code code)
{
    return {code, "test", "store", ""};
}

} // namespace tanagerlead::test
