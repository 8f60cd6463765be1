#include "src/entry/prefix_reader.hpp"

#include "src/net/event_loop.hpp"

#include <utility>

namespace tanagerlead::entry
{

prefix_reader::prefix_reader(metadata_store& store, std::string prefix,
                             listing_callback done)
    : store_{store}, prefix_{std::move(prefix)}, done_{std::move(done)}
{
}

void prefix_reader::read()
{
    auto const now = net::now();
    if (latest_ && now - *latest_ < share_time)
    {
        return;
    }
    latest_ = now;
    read_page(std::make_shared<store_listing>(store_listing{now, {}, {}}));
}

void prefix_reader::on_new_era()
{
    calls_.give_up_calls();
    latest_.reset();
}

void prefix_reader::read_page(std::shared_ptr<store_listing> const& listing)
{
    auto const& items = listing->items_;
    store_.list(
        prefix_, items.empty() ? std::string{} : items.back().key_, false,
        calls_.wrap([this, listing](base::result<store_page> const& page)
                    { on_page(listing, page); }),
        {});
}

void prefix_reader::on_page(std::shared_ptr<store_listing> const& listing,
                            base::result<store_page> const& page)
{
    if (!page)
    {
        listing->failure_ = page.error();
        finish(*listing);
        return;
    }
    auto const& items = page.value().items_;
    listing->items_.insert(listing->items_.end(), items.begin(), items.end());
    if (page.value().has_more_ && !items.empty())
    {
        read_page(listing);
        return;
    }
    finish(*listing);
}

void prefix_reader::finish(store_listing const& listing)
{
    if (latest_ == listing.asked_)
    {
        latest_.reset();
    }
    done_(listing);
}

} // namespace tanagerlead::entry
