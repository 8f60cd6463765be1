#include "src/base/histogram.hpp"

#include <boost/histogram.hpp>

#include <algorithm>

namespace tanagerlead::base
{

namespace
{
namespace bh = boost::histogram;

constexpr unsigned bins = 40;
constexpr double lowest_seconds = 1e-4;
constexpr double highest_seconds = 1e3;

using axis = bh::axis::regular<double, bh::axis::transform::log>;

axis make_axis()
{
    return axis{bins, lowest_seconds, highest_seconds};
}

using histogram =
    bh::histogram<std::tuple<axis>, bh::dense_storage<std::uint32_t>>;
} // namespace

struct duration_histogram::state
{
    histogram counts_{std::make_tuple(make_axis())};
    std::uint64_t count_ = 0;
    double sum_ = 0;
};

duration_histogram::duration_histogram() : state_{std::make_unique<state>()}
{
}
duration_histogram::duration_histogram(duration_histogram&&) noexcept = default;
duration_histogram&
duration_histogram::operator=(duration_histogram&&) noexcept = default;
duration_histogram::~duration_histogram() = default;

void duration_histogram::add(duration value)
{
    auto const s = seconds(value);
    state_->counts_(s);
    state_->count_ += 1;
    state_->sum_ += s;
}

void duration_histogram::merge(duration_histogram const& other)
{
    state_->counts_ += other.state_->counts_;
    state_->count_ += other.state_->count_;
    state_->sum_ += other.state_->sum_;
}

std::uint64_t duration_histogram::count() const
{
    return state_->count_;
}

double duration_histogram::sum() const
{
    return state_->sum_;
}

duration duration_histogram::quantile(double q) const
{
    if (state_->count_ == 0)
    {
        return duration::zero();
    }
    auto const& bin_axis = state_->counts_.axis();
    auto const wanted = q * static_cast<double>(state_->count_);
    double below = 0;
    for (int bin = -1; bin <= static_cast<int>(bins); ++bin)
    {
        auto const in_bin = static_cast<double>(state_->counts_.at(bin));
        if (in_bin > 0 && below + in_bin >= wanted)
        {
            auto const part = (wanted - below) / in_bin;
            auto const position = std::clamp(static_cast<double>(bin) + part,
                                             0.0, static_cast<double>(bins));
            return from_seconds(bin_axis.value(position));
        }
        below += in_bin;
    }
    return from_seconds(highest_seconds);
}

std::vector<double> duration_histogram::upper_edges()
{
    auto const bin_axis = make_axis();
    std::vector<double> edges;
    edges.reserve(bins);
    for (int bin = 0; bin < static_cast<int>(bins); ++bin)
    {
        edges.push_back(bin_axis.value(bin + 1));
    }
    return edges;
}

std::vector<std::uint64_t> duration_histogram::cumulative() const
{
    std::vector<std::uint64_t> counts;
    std::uint64_t total = state_->counts_.at(-1);
    for (int bin = 0; bin < static_cast<int>(bins); ++bin)
    {
        total += state_->counts_.at(bin);
        counts.push_back(total);
    }
    return counts;
}

} // namespace tanagerlead::base
