#pragma once

#include "src/base/error.hpp"
#include "src/sched/quarantine.hpp"
#include "src/sched/types.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// How daemons agree on who dispatches what.
namespace tanagerlead::cell
{

/// Number of one tenure of a cell by one daemon; larger is later for the same
/// life of that daemon.
enum class cell_epoch : std::uint64_t
{
};

/// Numbers the changes of the requests at their entry; 0 is none.
enum class revision : std::uint64_t
{
};

/// Where a request stands at its entry.
enum class request_state : std::uint8_t
{
    waiting,
    running,
    /// Answered, refused or withdrawn.
    ended,
};

/// A report and the revision that it made.
struct numbered_report
{
    revision revision_{};
    sched::dispatch_report report_;
};

/// Entry to owner: all the owner does not know yet of one request. Sent again
/// until acknowledged; times inside go over the wire as durations.
struct request_update
{
    base::cell_id cell_;
    base::request_id request_;
    revision revision_{};
    request_state state_{};
    /// Set while waiting, and until the owner acknowledged it once.
    std::optional<sched::work_item> item_;
    /// Where it runs, while running.
    base::target_id target_;
    std::vector<numbered_report> reports_;
};

/// Owner to entry. Revision 0: the owner does not know the request and needs
/// the whole of it.
struct update_acknowledgement
{
    base::cell_id cell_;
    cell_epoch epoch_{};
    base::request_id request_;
    revision revision_{};
};

/// Owner to entry: a grant or a refusal. Sent again until answered.
struct decision_message
{
    base::cell_id cell_;
    cell_epoch epoch_{};
    base::request_id request_;
    /// Unique within one life of the owner.
    std::uint64_t number_ = 0;
    /// Empty for a refusal.
    base::target_id target_;
    sched::refusal_cause cause_{};
    base::duration retry_after_{};
    /// A grant too old to be used by an entry that has not yet done so.
    bool expired_ = false;
};

/// Entry to owner.
struct decision_answer
{
    base::cell_id cell_;
    base::request_id request_;
    std::uint64_t number_ = 0;
    /// False when the entry declined the decision.
    bool used_ = false;
};

/// Requests of each tier.
using tier_counts = std::array<std::uint32_t, base::max_tiers>;

/// Owner to each entry that has requests waiting: sign of life and permission.
struct cell_heartbeat
{
    base::cell_id cell_;
    cell_epoch epoch_{};
    /// Lowest tier an entry may serve from its standing share.
    base::tier permitted_{};
    /// How long the permission lasts.
    base::duration valid_for_{};
    /// Requests waiting in the cell.
    tier_counts waiting_{};
};

/// Owner to entry: does the entry still hold these?
struct status_query
{
    base::cell_id cell_;
    std::vector<base::request_id> requests_;
};

/// Entry to owner: those of a query that it does not hold.
struct not_held
{
    base::cell_id cell_;
    std::vector<base::request_id> requests_;
};

/// Daemon to daemon: what it holds against requests of one fingerprint.
struct suspicion_notice
{
    sched::suspicion suspicion_;
};

using message = std::variant<request_update, update_acknowledgement,
                             decision_message, decision_answer, cell_heartbeat,
                             status_query, not_held, suspicion_notice>;

/// Bounds on what a message may carry.
struct message_limits
{
    static constexpr std::size_t most_name_bytes = 128;
    static constexpr std::size_t most_prefix_blocks = 48;
    static constexpr std::size_t most_reports = 4;
    static constexpr std::size_t most_queried = 48;
    static constexpr std::size_t most_messages = 64;
};

/// Packs messages, in order, into as few payloads of at most `most_bytes` as
/// will hold them. A message over its bounds is left out; prefixes are cut.
std::vector<std::string> encode(std::vector<message> const& messages,
                                std::size_t most_bytes, base::time_point now);

/// Reads one payload. Errors: `corrupt` for anything `encode` cannot have
/// written.
base::result<std::vector<message>> decode(std::string const& payload,
                                          base::time_point now);

} // namespace tanagerlead::cell
