#include "src/entry/store_follower.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Pauses after failed calls, doubled up to the longest: a change is in force
/// within two seconds of an outage's end, and each call has its price.
constexpr base::duration first_pause = 200ms;
constexpr base::duration longest_pause = 900ms;
/// Probes of the connection find one that fell silent sooner.
constexpr base::duration longest_watch = 10s;

} // namespace

store_follower::store_follower(net::asio::io_context& loop,
                               metadata_store& store, store_reader& reader,
                               settings s, std::uint64_t seed)
    : store_{store}, reader_{reader}, settings_{std::move(s)}, random_{seed},
      pause_{first_pause}, alarm_{loop, [this]
                                  {
                                      waits_to_retry_ = false;
                                      if (is_current_)
                                      {
                                          watch();
                                      }
                                      else
                                      {
                                          read_page("");
                                      }
                                  }}
{
}

void store_follower::stop()
{
    *alive_ = false;
    alarm_.clear();
}

void store_follower::hurry()
{
    if (waits_to_retry_)
    {
        alarm_.set(net::now());
    }
}

void store_follower::read_page(std::string const& after)
{
    is_first_page_ = after.empty();
    store_.list(settings_.prefix_, after, false,
                [this, alive = alive_](base::result<store_page> page)
                {
                    if (*alive)
                    {
                        on_page(std::move(page));
                    }
                });
}

void store_follower::on_page(base::result<store_page> page)
{
    if (!page)
    {
        fail(page.error());
        return;
    }
    auto& got = page.value();
    if (is_first_page_)
    {
        items_.clear();
        // What changes between two pages comes with the first watch.
        first_page_revision_ = got.revision_;
    }
    for (auto& item : got.items_)
    {
        items_.push_back(std::move(item));
    }
    if (got.has_more_ && !items_.empty())
    {
        read_page(items_.back().key_);
        return;
    }
    revision_ = first_page_revision_;
    is_current_ = true;
    succeed();
    reader_.on_items(items_);
    items_.clear();
    watch();
}

void store_follower::watch()
{
    store_.watch(settings_.prefix_, revision_, longest_watch,
                 [this, alive = alive_](base::result<store_changes> changes)
                 {
                     if (*alive)
                     {
                         on_watched(std::move(changes));
                     }
                 });
}

void store_follower::on_watched(base::result<store_changes> changes)
{
    if (!changes)
    {
        if (changes.error().code_ == base::error_code::not_found)
        {
            // The history is gone; the store is not.
            is_current_ = false;
            read_page("");
            return;
        }
        fail(changes.error());
        return;
    }
    succeed();
    auto const& got = changes.value();
    revision_ = std::max(revision_, got.revision_);
    if (got.items_.empty())
    {
        watch();
        return;
    }
    reader_.on_changes(got.items_);
    if (settings_.pacing_ > 0s)
    {
        alarm_.set_after(settings_.pacing_);
        return;
    }
    watch();
}

void store_follower::fail(base::error const& why)
{
    if (!lost_)
    {
        lost_ = true;
        reader_.on_store_lost(why);
    }
    // Whatever was missed in an outage comes with a whole reading.
    is_current_ = false;
    waits_to_retry_ = true;
    alarm_.set_after(base::from_seconds(base::seconds(pause_) *
                                        (0.7 + 0.6 * random_.uniform())));
    pause_ = std::min(2 * pause_, base::duration{longest_pause});
}

void store_follower::succeed()
{
    pause_ = first_pause;
    if (lost_)
    {
        lost_ = false;
        reader_.on_store_back();
    }
}

} // namespace tanagerlead::entry
