#include "src/entry/request_metrics.hpp"

#include <cstdio>

namespace tanagerlead::entry
{

namespace
{

char const* const overflow_label = "other";

void append_sample(std::string& out, std::string const& name,
                   std::string const& labels, double value)
{
    std::array<char, 64> number{};
    (void)std::snprintf(number.data(), number.size(), "%.9g", value);
    out.append(name);
    if (!labels.empty())
    {
        out.append("{").append(labels).append("}");
    }
    out.append(" ").append(number.data()).append("\n");
}

// Escapes label values, which come from configurations and targets.
std::string quoted(std::string const& text)
{
    std::string out{"\""};
    for (auto const c : text)
    {
        if (c == '"' || c == '\\')
        {
            out.push_back('\\');
        }
        out.push_back(c < ' ' ? ' ' : c);
    }
    return out.append("\"");
}

} // namespace

void request_metrics::on_call(base::workspace_id const& workspace,
                              base::tier tier, call_outcome outcome,
                              std::string const& cause, base::duration first,
                              base::duration total)
{
    auto key = series_key{workspace, tier};
    if (!series_.contains(key) && series_.size() >= max_workspaces)
    {
        key = series_key{base::workspace_id{overflow_label}, tier};
    }
    auto& s = series_[key];
    ++s.outcome_counts_.at(static_cast<std::size_t>(outcome));
    if (outcome == call_outcome::complete)
    {
        s.first_.add(first);
        s.total_.add(total);
    }
    if (!cause.empty())
    {
        auto const known =
            causes_.contains(cause) || causes_.size() < max_causes;
        ++causes_[known ? cause : overflow_label];
    }
}

void request_metrics::on_rejected(int status)
{
    ++rejected_[status];
}

void request_metrics::append_histogram(std::string& out, char const* name,
                                       std::string const& labels,
                                       base::duration_histogram const& values)
{
    auto const bounds = base::duration_histogram::upper_edges();
    auto const counts = values.cumulative();
    for (std::size_t i = 0; i < bounds.size(); ++i)
    {
        append_sample(out, std::string{name} + "_bucket",
                      labels + ",le=\"" + std::to_string(bounds[i]) + "\"",
                      static_cast<double>(counts[i]));
    }
    append_sample(out, std::string{name} + "_sum", labels, values.sum());
    append_sample(out, std::string{name} + "_count", labels,
                  static_cast<double>(values.count()));
}

std::string request_metrics::text(std::vector<gauge> const& gauges) const
{
    std::string out;
    for (auto const& g : gauges)
    {
        append_sample(out, std::string{"tanagerlead_"} + g.name_, g.labels_,
                      g.value_);
    }
    for (auto const& [key, s] : series_)
    {
        auto const labels =
            "workspace=" + quoted(std::get<0>(key).str()) + ",tier=\"" +
            std::to_string(base::index(std::get<1>(key))) + "\"";
        for (std::size_t i = 0; i < s.outcome_counts_.size(); ++i)
        {
            append_sample(out, "tanagerlead_requests_total",
                          labels + ",outcome=\"" +
                              to_string(static_cast<call_outcome>(i)) + "\"",
                          static_cast<double>(s.outcome_counts_.at(i)));
        }
        append_histogram(out, "tanagerlead_first_piece_seconds", labels,
                         s.first_);
        append_histogram(out, "tanagerlead_answer_seconds", labels, s.total_);
    }
    for (auto const& [cause, count] : causes_)
    {
        append_sample(out, "tanagerlead_causes_total", "cause=" + quoted(cause),
                      static_cast<double>(count));
    }
    for (auto const& [status, count] : rejected_)
    {
        append_sample(out, "tanagerlead_turned_away_total",
                      "status=\"" + std::to_string(status) + "\"",
                      static_cast<double>(count));
    }
    return out;
}

} // namespace tanagerlead::entry
