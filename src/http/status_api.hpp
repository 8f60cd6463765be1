#pragma once

#include "src/base/address.hpp"
#include "src/base/units.hpp"
#include "src/http/config_api.hpp"

#include <optional>

namespace tanagerlead::http
{

/// One cell as a daemon sees it.
struct cell_view
{
    base::cell_id cell_;
    base::daemon_id owner_;
    std::size_t targets_ = 0;
    /// The daemon serves its own requests from its standing share, the owner
    /// being silent.
    bool works_from_share_ = false;
    /// Unset for cells of other owners.
    std::optional<std::vector<std::size_t>> waiting_by_tier_;
};

struct daemon_status
{
    base::daemon_id daemon_;
    base::config_version version_{};
    bool accepts_work_ = false;
    bool isolated_ = false;
    std::vector<daemon_version> members_;
    std::vector<cell_view> cells_;
    std::uint64_t forged_datagrams_ = 0;
    std::uint64_t malformed_datagrams_ = 0;
    std::uint64_t peer_bytes_sent_ = 0;
    std::uint64_t peer_bytes_received_ = 0;
    /// Processor time of the control thread since its start.
    base::duration control_time_{};
};

struct target_view
{
    base::target_id target_;
    std::vector<base::pool_id> pools_;
    base::address address_;
    base::data_centre_id data_centre_;
    base::cell_id cell_;
    base::daemon_id owner_;
    int slots_ = 0;
    bool draining_ = false;
    /// Unset for cells of other owners, as is the next.
    std::optional<std::size_t> in_flight_;
    /// Of the whole cell.
    std::optional<std::vector<std::size_t>> waiting_by_tier_;
};

/// Where a request waited and what was decided on it.
struct request_explanation
{
    base::request_id request_;
    base::workspace_id workspace_;
    base::pool_id pool_;
    base::tier tier_{};
    base::cell_id cell_;
    base::daemon_id owner_;
    std::size_t waiting_ahead_ = 0;
    /// Up to the decision, or up to now.
    base::duration waited_{};
    /// "waiting", "dispatched" or "refused".
    std::string decision_;
    /// Of a dispatch.
    base::target_id target_;
    base::address address_;
    /// Of a refusal.
    std::string cause_;
    base::duration retry_after_{};
    base::daemon_id decided_by_;
    bool from_share_ = false;
    int tries_ = 0;
    /// The latest report on its dispatch; empty without one.
    std::string last_event_;
};

/// Where `status_api` reads; any thread.
struct status_readers
{
    std::function<daemon_status()> status_;
    std::function<std::vector<target_view>()> targets_;
    /// Unset for a request that is not, or no longer, known here.
    std::function<std::optional<request_explanation>(base::request_id)>
        explain_;
};

/// Operators' questions to one daemon: `/operator/v1/status`, `targets` and
/// `explain/{request id}`.
class status_api
{
public:
    /// Must outlive the server that the routes are added to.
    status_api(status_readers readers, operator_guard guard)
        : readers_{std::move(readers)}, guard_{std::move(guard)}
    {
    }

    void add_routes(router& to);

private:
    void status(http_call const& in, http_reply& out);
    void targets(http_call const& in, http_reply& out);
    void explain(http_call const& in, http_reply& out);

    status_readers readers_;
    operator_guard guard_;
};

} // namespace tanagerlead::http
