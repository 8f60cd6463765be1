#pragma once

#include "src/base/clock.hpp"
#include "src/request/claim_bucket.hpp"
#include "src/request/claim_store.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace tanagerlead::request
{

struct claim_settings
{
    /// The same in every daemon: it decides which bucket a key falls into.
    std::size_t buckets_ = 32;
    /// Least time between two writes of one bucket by one daemon; what comes
    /// meanwhile goes into the next write.
    base::duration write_interval_ = std::chrono::milliseconds{100};
};

/// Claims in the key-value service. Concurrent claims of one bucket share a
/// write, and compare-and-swap alone decides: neither a lease nor a clock is
/// trusted, and a daemon that was frozen in the midst of a claim finds that
/// its write fails.
///
/// A key is remembered for `claim_retention`. After that a repeat runs again.
/// A claim that ends in an error may stand all the same; a later repeat then
/// finds it with a holder that never ran it, and is not run either.
class kv_claim_store final : public claim_store
{
public:
    /// Hands the claim to the daemon that writes the bucket, so that the
    /// claims of many daemons share its writes. Nothing: this one writes.
    /// Which daemon does it decides over speed only.
    using forwarder = std::function<std::optional<base::result<claim>>(
        std::size_t bucket, claim const& wanted)>;

    kv_claim_store(external::key_value_store& store, base::clock const& clock,
                   wall_clock const& now, claim_settings settings = {});
    ~kv_claim_store() override;

    /// Before the first claim.
    void set_forwarder(forwarder forward) { forward_ = std::move(forward); }

    base::result<claim> acquire(claim const& wanted) override;
    /// As `acquire`, never forwarded; for what another daemon forwarded.
    base::result<claim> acquire_here(claim const& wanted);

    std::size_t bucket_of(claim const& wanted) const;
    /// Claims that wait for the next write of a bucket. Any thread.
    std::size_t waiting(std::size_t bucket) const;

private:
    class group;

    claim_settings settings_;
    forwarder forward_;
    std::vector<std::unique_ptr<group>> groups_;
};

} // namespace tanagerlead::request
