#include "src/request/claim_bucket.hpp"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <thread>

namespace tanagerlead::request
{

namespace
{

using external::commit_outcome;
using external::key_value_write;

constexpr int settle_tries = 6;
constexpr auto rate_limit_pause = std::chrono::milliseconds{50};
/// Above this many unknown pages one list call is cheaper.
constexpr std::uint64_t most_single_reads = 8;
/// Expired pages that one seal deletes; more than the one it adds.
constexpr int deletes_a_seal = 4;

void fail_all(std::vector<claim_attempt*> const& group,
              base::error const& problem)
{
    for (auto* each : group)
    {
        each->outcome_ = base::result<claim_entry>{base::failure(problem)};
    }
}

bool worth_another_try(base::error_code code)
{
    if (code == base::error_code::rate_limited)
    {
        std::this_thread::sleep_for(rate_limit_pause);
        return true;
    }
    return code == base::error_code::unknown_effect;
}

claim_entry const* find_entry(std::vector<claim_entry> const& entries,
                              claim_digest const& digest)
{
    auto const found = std::find_if(entries.begin(), entries.end(),
                                    [&](claim_entry const& each)
                                    { return each.digest_ == digest; });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

claim_bucket::claim_bucket(external::key_value_store& store, std::size_t number,
                           wall_clock now)
    : store_{store}, prefix_{"tanagerlead/claims/" + std::to_string(number) +
                             "/"},
      now_{std::move(now)}
{
}

void claim_bucket::settle(std::vector<claim_attempt*> const& group)
{
    base::error problem{base::error_code::unavailable, "claim key", prefix_,
                        "other daemons kept writing"};
    bool may_have_applied = false;
    for (int i = 0; i < settle_tries; ++i)
    {
        auto const tried = try_once(group);
        if (tried && tried.value() == progress::done)
        {
            return;
        }
        if (!tried)
        {
            problem = tried.error();
            if (!worth_another_try(problem.code_))
            {
                break;
            }
            // Read back: the entries are there, or the write that may still be
            // on its way will lose against the next one.
            may_have_applied |=
                problem.code_ == base::error_code::unknown_effect;
        }
    }
    if (may_have_applied)
    {
        problem.code_ = base::error_code::unknown_effect;
    }
    fail_all(group, problem);
}

base::result<claim_bucket::progress>
claim_bucket::try_once(std::vector<claim_attempt*> const& group)
{
    BOOST_OUTCOME_TRY(auto const open, read_open());
    BOOST_OUTCOME_TRY(auto const loaded, load_sealed(open.page_));
    if (loaded == progress::again)
    {
        return progress::again;
    }
    std::vector<claim_entry> added;
    for (auto const* each : group)
    {
        auto const& wanted = each->wanted_;
        if (find(open.page_, wanted.digest_) == nullptr &&
            find_entry(added, wanted.digest_) == nullptr)
        {
            added.push_back(wanted);
        }
    }
    if (!added.empty())
    {
        BOOST_OUTCOME_TRY(auto const outcome,
                          store_.commit(plan_writes(open, added)));
        if (outcome == commit_outcome::conflict)
        {
            return progress::again;
        }
    }
    for (auto* each : group)
    {
        auto const& digest = each->wanted_.digest_;
        auto const* const earlier = find(open.page_, digest);
        auto const* const own = find_entry(added, digest);
        each->outcome_ = earlier != nullptr ? *earlier : *own;
    }
    return progress::done;
}

base::result<claim_bucket::open_page> claim_bucket::read_open()
{
    BOOST_OUTCOME_TRY(auto const entry, store_.get(prefix_ + "open"));
    open_page out;
    out.revision_ = entry.revision_;
    if (entry.revision_ != 0)
    {
        BOOST_OUTCOME_TRY(out.page_, decode_page(entry.value_));
    }
    return out;
}

base::result<claim_bucket::progress>
claim_bucket::load_sealed(claim_page const& open)
{
    forget_before(open.first_sealed_);
    auto const known = static_cast<std::uint64_t>(
        std::distance(sealed_.begin(), sealed_.lower_bound(open.sequence_)));
    auto const missing = open.sequence_ - open.first_sealed_ - known;
    if (missing > most_single_reads)
    {
        BOOST_OUTCOME_TRY(load_all());
    }
    for (auto at = open.first_sealed_; at < open.sequence_; ++at)
    {
        if (!sealed_.contains(at))
        {
            BOOST_OUTCOME_TRY(auto const loaded, load_one(at));
            if (loaded == progress::again)
            {
                return progress::again;
            }
        }
    }
    return progress::done;
}

base::result<claim_bucket::progress>
claim_bucket::load_one(std::uint64_t sequence)
{
    BOOST_OUTCOME_TRY(auto const entry, store_.get(sealed_key(sequence)));
    if (entry.revision_ == 0)
    {
        // Deleted since the open page was read.
        return progress::again;
    }
    BOOST_OUTCOME_TRY(auto const page, decode_page(entry.value_));
    remember(page);
    return progress::done;
}

base::result<void> claim_bucket::load_all()
{
    BOOST_OUTCOME_TRY(auto const entries, store_.list(sealed_prefix()));
    for (auto const& entry : entries)
    {
        BOOST_OUTCOME_TRY(auto const page, decode_page(entry.value_));
        remember(page);
    }
    return base::success();
}

void claim_bucket::remember(claim_page const& sealed)
{
    auto& kept = sealed_[sealed.sequence_];
    kept.sealed_at_ms_ = sealed.sealed_at_ms_;
    kept.digests_.clear();
    for (auto const& entry : sealed.entries_)
    {
        entries_[entry.digest_] = entry;
        kept.digests_.push_back(entry.digest_);
    }
}

void claim_bucket::forget_before(std::uint64_t sequence)
{
    while (!sealed_.empty() && sealed_.begin()->first < sequence)
    {
        for (auto const& digest : sealed_.begin()->second.digests_)
        {
            entries_.erase(digest);
        }
        sealed_.erase(sealed_.begin());
    }
}

claim_entry const* claim_bucket::find(claim_page const& open,
                                      claim_digest const& digest) const
{
    auto const found = entries_.find(digest);
    return found != entries_.end() ? &found->second
                                   : find_entry(open.entries_, digest);
}

std::vector<key_value_write>
claim_bucket::plan_writes(open_page const& open,
                          std::vector<claim_entry> const& added)
{
    std::vector<key_value_write> writes;
    auto page = open.page_;
    if (page.entries_.size() + added.size() > claims_a_page)
    {
        seal(page, writes);
    }
    page.entries_.insert(page.entries_.end(), added.begin(), added.end());
    // Whoever changed the open page since it was read wins.
    writes.push_back({prefix_ + "open", encode_page(page), open.revision_});
    return writes;
}

void claim_bucket::seal(claim_page& page, std::vector<key_value_write>& writes)
{
    page.sealed_at_ms_ = now_().count();
    writes.push_back({sealed_key(page.sequence_), encode_page(page), 0});
    auto const oldest_kept =
        page.sealed_at_ms_ - std::chrono::milliseconds{claim_retention}.count();
    auto first = page.first_sealed_;
    for (int i = 0; i < deletes_a_seal && first < page.sequence_; ++i)
    {
        if (sealed_.at(first).sealed_at_ms_ > oldest_kept)
        {
            break;
        }
        writes.push_back({sealed_key(first), std::nullopt, std::nullopt});
        ++first;
    }
    page = {page.sequence_ + 1, first, 0, {}};
}

std::string claim_bucket::sealed_prefix() const
{
    return prefix_ + "sealed/";
}

std::string claim_bucket::sealed_key(std::uint64_t sequence) const
{
    return sealed_prefix() + std::to_string(sequence);
}

} // namespace tanagerlead::request
