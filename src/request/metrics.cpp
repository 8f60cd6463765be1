#include "src/request/metrics.hpp"

#include <cstdio>

namespace tanagerlead::request
{

namespace
{

constexpr char const* shared_series = "other";

/// `{label="name"` with what Prometheus asks to be escaped.
std::string open_labels(char const* label, std::string const& name)
{
    std::string text = std::string{"{"} + label + "=\"";
    for (auto const c : name)
    {
        if (c == '\\' || c == '"')
        {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text + '"';
}

std::string number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}

void print_type(std::string const& name, char const* type, std::string& out)
{
    out += "# TYPE " + name + ' ' + type + '\n';
}

void print_histogram(std::string const& name, std::string const& labels,
                     base::duration_histogram const& histogram,
                     std::string& out)
{
    static auto const edges = base::duration_histogram::upper_edges();
    auto const counts = histogram.cumulative();
    for (std::size_t i = 0; i < counts.size(); ++i)
    {
        auto const last = i + 1 == counts.size();
        out += name;
        out += "_bucket";
        out += labels;
        out += ",le=\"" + (last ? "+Inf" : number(edges[i])) + "\"}";
        out += ' ' + std::to_string(counts[i]) + '\n';
    }
    out += name + "_sum" + labels + "} " + number(histogram.sum()) + '\n';
    out += name + "_count" + labels + "} " + std::to_string(histogram.count()) +
           '\n';
}

} // namespace

metrics::metrics(std::size_t most_workspaces)
    : most_workspaces_{most_workspaces}
{
}

metrics::series& metrics::series_of(base::workspace_id const& workspace)
{
    auto const found = by_workspace_.find(workspace.str());
    if (found != by_workspace_.end())
    {
        return found->second;
    }
    auto const full = by_workspace_.size() >= most_workspaces_;
    return by_workspace_[full ? shared_series : workspace.str()];
}

metrics::series& metrics::series_of(base::tier tier)
{
    return by_tier_[std::to_string(base::index(tier))];
}

void metrics::add(request_sample const& sample)
{
    std::lock_guard const lock{mutex_};
    add_to(series_of(sample.workspace_), sample);
    add_to(series_of(sample.tier_), sample);
}

void metrics::add_gaps(base::workspace_id const& workspace, base::tier tier,
                       base::duration_histogram const& gaps)
{
    std::lock_guard const lock{mutex_};
    series_of(workspace).between_tokens_.merge(gaps);
    series_of(tier).between_tokens_.merge(gaps);
}

void metrics::add_to(series& one, request_sample const& sample)
{
    one.waited_.add(sample.waited_);
    one.total_.add(sample.total_);
    if (sample.first_token_)
    {
        one.first_token_.add(*sample.first_token_);
    }
    ++one.outcomes_.at(static_cast<std::size_t>(sample.outcome_));
    if (!sample.cause_.empty())
    {
        ++one.causes_[sample.cause_];
    }
    one.prompt_tokens_ += sample.prompt_tokens_;
    one.output_tokens_ += sample.output_tokens_;
    one.cached_tokens_ += sample.cached_tokens_;
}

std::string metrics::text() const
{
    std::lock_guard const lock{mutex_};
    std::string out;
    for (auto const print :
         {print_histograms, print_tokens, print_outcomes, print_causes})
    {
        print("tanagerlead_workspace_", "workspace", by_workspace_, out);
        print("tanagerlead_tier_", "tier", by_tier_, out);
    }
    return out;
}

void metrics::print_histograms(std::string const& family, char const* label,
                               series_map const& all, std::string& out)
{
    struct column
    {
        char const* name_;
        base::duration_histogram series::*member_;
    };
    static constexpr std::array columns{
        column{"wait_seconds", &series::waited_},
        column{"first_token_seconds", &series::first_token_},
        column{"between_tokens_seconds", &series::between_tokens_},
        column{"total_seconds", &series::total_},
    };
    for (auto const& each : columns)
    {
        auto const name = family + each.name_;
        print_type(name, "histogram", out);
        for (auto const& [key, one] : all)
        {
            print_histogram(name, open_labels(label, key), one.*each.member_,
                            out);
        }
    }
}

void metrics::print_tokens(std::string const& family, char const* label,
                           series_map const& all, std::string& out)
{
    struct column
    {
        char const* name_;
        base::token_count series::*member_;
    };
    static constexpr std::array columns{
        column{"prompt_tokens_total", &series::prompt_tokens_},
        column{"output_tokens_total", &series::output_tokens_},
        column{"cached_tokens_total", &series::cached_tokens_},
    };
    for (auto const& each : columns)
    {
        auto const name = family + each.name_;
        print_type(name, "counter", out);
        for (auto const& [key, one] : all)
        {
            out += name + open_labels(label, key) + "} " +
                   std::to_string(one.*each.member_) + '\n';
        }
    }
}

void metrics::print_outcomes(std::string const& family, char const* label,
                             series_map const& all, std::string& out)
{
    auto const name = family + "outcomes_total";
    print_type(name, "counter", out);
    for (auto const& [key, one] : all)
    {
        for (std::size_t i = 0; i < one.outcomes_.size(); ++i)
        {
            out += name + open_labels(label, key) + ",outcome=\"" +
                   to_string(static_cast<outcome>(i)) + "\"} " +
                   std::to_string(one.outcomes_[i]) + '\n';
        }
    }
}

void metrics::print_causes(std::string const& family, char const* label,
                           series_map const& all, std::string& out)
{
    auto const name = family + "causes_total";
    print_type(name, "counter", out);
    for (auto const& [key, one] : all)
    {
        for (auto const& [cause, count] : one.causes_)
        {
            out += name + open_labels(label, key);
            out += ",cause=\"" + cause + "\"} ";
            out += std::to_string(count) + '\n';
        }
    }
}

} // namespace tanagerlead::request
