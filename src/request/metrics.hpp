#pragma once

#include "src/base/histogram.hpp"
#include "src/base/ids.hpp"
#include "src/request/outcome.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace tanagerlead::request
{

/// One ended request.
struct request_sample
{
    base::workspace_id workspace_;
    base::tier tier_{};
    outcome outcome_{};
    /// Why it was not run, or not whole; empty for a complete answer.
    std::string cause_;
    base::duration waited_{};
    std::optional<base::duration> first_token_;
    base::duration total_{};
    base::token_count prompt_tokens_ = 0;
    base::token_count output_tokens_ = 0;
    base::token_count cached_tokens_ = 0;
};

/// Histograms and counters by workspace and by tier. The first workspaces get
/// series of their own, all others share the series `other`, which bounds the
/// memory and the size of the text. Any thread.
class metrics
{
public:
    explicit metrics(std::size_t most_workspaces);

    void add(request_sample const& sample);
    /// Times between the events of one stream.
    void add_gaps(base::workspace_id const& workspace, base::tier tier,
                  base::duration_histogram const& gaps);

    /// Prometheus text.
    std::string text() const;

private:
    struct series
    {
        base::duration_histogram waited_;
        base::duration_histogram first_token_;
        base::duration_histogram between_tokens_;
        base::duration_histogram total_;
        std::array<std::uint64_t, 3> outcomes_{};
        std::map<std::string, std::uint64_t> causes_;
        base::token_count prompt_tokens_ = 0;
        base::token_count output_tokens_ = 0;
        base::token_count cached_tokens_ = 0;
    };

    using series_map = std::map<std::string, series>;

    series& series_of(base::workspace_id const& workspace);
    series& series_of(base::tier tier);
    static void add_to(series& one, request_sample const& sample);
    static void print_histograms(std::string const& family, char const* label,
                                 series_map const& all, std::string& out);
    static void print_tokens(std::string const& family, char const* label,
                             series_map const& all, std::string& out);
    static void print_outcomes(std::string const& family, char const* label,
                               series_map const& all, std::string& out);
    static void print_causes(std::string const& family, char const* label,
                             series_map const& all, std::string& out);

    std::size_t const most_workspaces_;
    mutable std::mutex mutex_;
    series_map by_workspace_;
    series_map by_tier_;
};

} // namespace tanagerlead::request
