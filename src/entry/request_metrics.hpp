#pragma once

#include "src/base/histogram.hpp"
#include "src/base/ids.hpp"
#include "src/entry/call.hpp"

#include <array>
#include <map>
#include <string>
#include <tuple>

namespace tanagerlead::entry
{

/// A current value, for example the number of waiting requests.
struct gauge
{
    char const* name_;
    double value_;
    /// Empty, or in the format of the metrics.
    std::string labels_{};
};

/// Counters and latency histograms by workspace and tier, in the Prometheus
/// text format. The first `max_workspaces` pairs of workspace and tier get
/// their own series; all others share one per tier, which bounds memory and
/// output.
class request_metrics
{
public:
    void on_call(base::workspace_id const& workspace, base::tier tier,
                 call_outcome outcome, std::string const& cause,
                 base::duration first, base::duration total);
    void on_rejected(int status);

    std::string text(std::vector<gauge> const& gauges) const;

private:
    static constexpr std::size_t max_workspaces = 200;
    static constexpr std::size_t max_causes = 40;
    static constexpr std::size_t outcome_count = 6;

    struct series
    {
        base::duration_histogram first_;
        base::duration_histogram total_;
        std::array<std::uint64_t, outcome_count> outcome_counts_{};
    };

    using series_key = std::tuple<base::workspace_id, base::tier>;

    static void append_histogram(std::string& out, char const* name,
                                 std::string const& labels,
                                 base::duration_histogram const& values);

    std::map<series_key, series> series_;
    std::map<std::string, std::uint64_t> causes_;
    std::map<int, std::uint64_t> rejected_;
};

} // namespace tanagerlead::entry
