#pragma once

#include "src/base/ids.hpp"
#include "src/base/serialization.hpp"
#include "src/routing/id_digest.hpp"
#include "src/routing/limit_statement.hpp"
#include "src/routing/pool_brittleness.hpp"
#include "src/routing/prompt_part.hpp"
#include "src/routing/store_revision.hpp"
#include "src/routing/target_info.hpp"

#include <cereal/types/common.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace tanagerlead::routing
{

/// Requests of one daemon at one target.
struct target_usage
{
    id_digest target_{};
    std::uint16_t in_flight_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(target_, in_flight_);
    }
};

/// Requests of one tier that wait for a pool at one daemon.
struct waiting_count
{
    id_digest pool_{};
    std::uint8_t tier_ = 0;
    std::uint16_t count_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(pool_, tier_, count_);
    }
};

/// Units that a workspace spent at one daemon since that daemon started.
struct spent_units
{
    id_digest workspace_{};
    std::int64_t units_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(workspace_, units_);
    }
};

/// A request that was in flight when a target crashed.
struct crash_notice
{
    std::uint64_t fingerprint_ = 0;
    id_digest target_{};
    std::uint16_t age_ms_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(fingerprint_, target_, age_ms_);
    }
};

/// A connect of the sender to a target.
struct target_observation
{
    incarnation_digest target_{};
    std::uint16_t age_ms_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(target_, age_ms_);
    }
};

enum class daemon_state : std::uint8_t
{
    /// It does not know the configuration yet.
    starting,
    ready,
    leaving,
};

/// What a daemon does in its fleet; see working_set.
enum class daemon_role : std::uint8_t
{
    /// Callers are sent to it.
    serving,
    /// Some callers use it, but no further ones are sent to it.
    active,
    standby,
};

char const* name_of(daemon_role role);

/// State that each daemon sends to the others. Each report is complete, so that
/// a lost one does no harm, and fits into one datagram.
struct peer_report
{
    static constexpr std::size_t max_targets = 100;
    static constexpr std::size_t max_waiting = 24;
    static constexpr std::size_t max_spent = 48;
    static constexpr std::size_t max_crashes = 8;
    static constexpr std::size_t max_addresses = 16;
    static constexpr std::size_t max_leaving = 16;
    static constexpr std::size_t max_registry_changes = 1;
    static constexpr std::size_t max_limits = 16;
    static constexpr std::size_t max_part_crashes = 24;
    static constexpr std::size_t max_part_proofs = 16;
    static constexpr std::size_t max_unreachable_pools = 16;
    static constexpr std::size_t max_observations = 32;
    static constexpr std::size_t max_brittle_pools = 16;

    /// Random number for each start of the sender.
    std::uint64_t incarnation_ = 0;
    std::uint32_t sequence_number_ = 0;
    daemon_state state_ = daemon_state::starting;
    id_digest data_centre_{};
    std::uint64_t config_version_ = 0;
    std::vector<target_usage> in_flight_;
    std::vector<waiting_count> waiting_;
    std::vector<spent_units> spent_;
    std::vector<crash_notice> crashes_;
    /// IPv4 addresses of other daemons that the sender knows.
    std::vector<std::uint32_t> known_peers_;
    /// Targets that told the sender that they are shutting down.
    std::vector<incarnation_digest> leaving_targets_;
    daemon_role role_ = daemon_role::serving;
    /// Time to the sender's next report to the same daemons, unless there is
    /// news; 0: unknown.
    std::uint16_t interval_ms_ = 0;
    /// At most one, and only while it is so recent that the recipient may not
    /// have it.
    std::vector<registry_change> registry_changes_;
    /// What targets said about their limits.
    std::vector<limit_statement> limits_;
    /// Evidence for and against parts of prompts; see part_quarantine.
    std::vector<part_crash> part_crashes_;
    std::vector<part_proof> part_proofs_;
    /// Pools to whose targets the sender can open no connection.
    std::vector<id_digest> unreachable_pools_;
    /// That holds for all pools.
    bool is_cut_off_ = false;
    /// Targets that must not be overfilled, with their slots as the limit.
    std::vector<limit_statement> brittle_targets_;
    /// Targets that the sender failed to connect to, and those that it reached
    /// although others may have failed; see target_outages.
    std::vector<target_observation> failed_targets_;
    std::vector<target_observation> reached_targets_;
    std::vector<pool_brittleness> brittle_pools_;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation_, sequence_number_, state_, data_centre_,
                config_version_);
        // A state that a later build has added is not known to take requests.
        if (state_ > daemon_state::leaving)
        {
            state_ = daemon_state::starting;
        }
        base::serialize_start_of_list(archive, in_flight_, max_targets);
        base::serialize_start_of_list(archive, waiting_, max_waiting);
        base::serialize_start_of_list(archive, spent_, max_spent);
        base::serialize_start_of_list(archive, crashes_, max_crashes);
        base::serialize_start_of_list(archive, known_peers_, max_addresses);
    }

    /// The sections that follow the report; see entry::write_report. Daemons of
    /// other builds may neither send nor know some of them.
    template <class Archive>
    void serialize_leaving(Archive& archive)
    {
        base::serialize_start_of_list(archive, leaving_targets_, max_leaving);
    }

    template <class Archive>
    void serialize_role(Archive& archive)
    {
        archive(role_, interval_ms_);
        role_ = std::min(role_, daemon_role::standby);
    }

    template <class Archive>
    void serialize_registry_change(Archive& archive)
    {
        base::serialize_start_of_list(archive, registry_changes_,
                                      max_registry_changes);
    }

    template <class Archive>
    void serialize_limits(Archive& archive)
    {
        base::serialize_start_of_list(archive, limits_, max_limits);
    }

    template <class Archive>
    void serialize_part_evidence(Archive& archive)
    {
        base::serialize_start_of_list(archive, part_crashes_, max_part_crashes);
        base::serialize_start_of_list(archive, part_proofs_, max_part_proofs);
    }

    template <class Archive>
    void serialize_reach(Archive& archive)
    {
        base::serialize_start_of_list(archive, unreachable_pools_,
                                      max_unreachable_pools);
        archive(is_cut_off_);
    }

    template <class Archive>
    void serialize_brittle_targets(Archive& archive)
    {
        base::serialize_start_of_list(archive, brittle_targets_, max_limits);
    }

    bool has_observations() const
    {
        return !failed_targets_.empty() || !reached_targets_.empty();
    }

    template <class Archive>
    void serialize_observations(Archive& archive)
    {
        base::serialize_start_of_list(archive, failed_targets_,
                                      max_observations);
        base::serialize_start_of_list(archive, reached_targets_,
                                      max_observations);
    }

    bool has_brittle_pools() const { return !brittle_pools_.empty(); }

    template <class Archive>
    void serialize_brittle_pools(Archive& archive)
    {
        base::serialize_start_of_list(archive, brittle_pools_,
                                      max_brittle_pools);
    }
};

} // namespace tanagerlead::routing
