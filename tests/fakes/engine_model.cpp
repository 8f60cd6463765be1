#include "tests/fakes/engine_model.hpp"

#include <algorithm>
#include <cassert>

namespace tanagerlead::fakes
{

char const* to_string(sequence_state state)
{
    switch (state)
    {
    case sequence_state::waiting:
        return "waiting";
    case sequence_state::prefilling:
        return "prefilling";
    case sequence_state::decoding:
        return "decoding";
    case sequence_state::finished:
        return "finished";
    case sequence_state::cancelled:
        return "cancelled";
    }
    return "unknown";
}

engine_model::engine_model(engine_settings const& settings)
    : settings_{settings}, cache_{settings.cache_tokens_}
{
    assert(settings.slots_ > 0);
    assert(settings.prefill_tokens_per_s_ > 0.0);
    reports_.push_back({});
}

engine_model::sequence_number engine_model::submit(sequence arrived,
                                                   base::time_point now)
{
    auto const number = sequences_.size();
    arrived.arrived_ = now;
    arrived.output_tokens_ =
        std::max<base::token_count>(arrived.output_tokens_, 1);
    sequences_.push_back(std::move(arrived));
    waiting_.push_back(number);
    if (step_end_ == base::time_point::max())
    {
        start_step(now);
    }
    record_load(now);
    return number;
}

bool engine_model::cancel(sequence_number number, base::time_point now)
{
    auto& item = sequences_.at(number);
    if (item.ended())
    {
        return false;
    }
    if (item.state_ == sequence_state::waiting)
    {
        std::erase(waiting_, number);
        item.prompt_.chain_ = {};
    }
    item.state_ = sequence_state::cancelled;
    record_load(now);
    return true;
}

void engine_model::advance(base::time_point now,
                           std::vector<sequence_number>& changed)
{
    while (step_end_ <= now)
    {
        auto const ended = step_end_;
        finish_step(changed);
        start_step(ended);
        record_load(ended);
    }
}

sequence const& engine_model::at(sequence_number number) const
{
    return sequences_.at(number);
}

sequence_progress engine_model::progress(sequence_number number) const
{
    auto const& item = sequences_.at(number);
    return {item.state_, item.prompt_.hash_, item.prompt_.tokens_,
            item.cached_tokens_, item.generated_tokens_};
}

engine_totals engine_model::totals() const
{
    engine_totals sums;
    for (auto const& item : sequences_)
    {
        ++sums.dispatched_;
        sums.finished_ += item.state_ == sequence_state::finished ? 1 : 0;
        sums.cancelled_ += item.state_ == sequence_state::cancelled ? 1 : 0;
        sums.prompt_tokens_ += item.prompt_.tokens_;
        sums.prefilled_tokens_ += item.prefilled_tokens_;
        sums.cached_tokens_ += item.cached_tokens_;
        sums.generated_tokens_ += item.generated_tokens_;
    }
    return sums;
}

load_report engine_model::report(base::time_point now) const
{
    auto const seen = now - settings_.report_lag_;
    auto const later = std::find_if(reports_.begin(), reports_.end(),
                                    [seen](dated_report const& one)
                                    { return one.at_ > seen; });
    return later == reports_.begin() ? load_report{} : std::prev(later)->load_;
}

void engine_model::admit()
{
    auto const slots = static_cast<std::size_t>(settings_.slots_);
    while (running_.size() < slots && !waiting_.empty())
    {
        auto const number = waiting_.front();
        waiting_.pop_front();
        auto& item = sequences_[number];
        // At least one token is computed, to have something to decode from.
        auto const most =
            std::max<base::token_count>(item.prompt_.tokens_ - 1, 0);
        item.cached_tokens_ =
            std::min(cache_.match(item.prompt_.chain_.blocks()), most);
        item.state_ = sequence_state::prefilling;
        running_.push_back(number);
    }
}

void engine_model::start_step(base::time_point now)
{
    drop_ended();
    admit();
    step_prefill_.assign(running_.size(), 0);
    if (running_.empty())
    {
        step_end_ = base::time_point::max();
        return;
    }
    auto budget = settings_.prefill_chunk_tokens_;
    int decoding = 0;
    for (std::size_t i = 0; i < running_.size(); ++i)
    {
        auto const& item = sequences_[running_[i]];
        if (item.state_ == sequence_state::decoding)
        {
            ++decoding;
            continue;
        }
        auto const left =
            item.prompt_.tokens_ - item.cached_tokens_ - item.prefilled_tokens_;
        step_prefill_[i] = std::min(budget, left);
        budget -= step_prefill_[i];
    }
    auto const prefill = settings_.prefill_chunk_tokens_ - budget;
    auto time = static_cast<double>(prefill) / settings_.prefill_tokens_per_s_;
    if (decoding > 0)
    {
        time += base::seconds(settings_.decode_step_) *
                (1.0 + settings_.decode_growth_ * (decoding - 1));
    }
    constexpr auto least_step = std::chrono::microseconds{100};
    step_end_ = now + std::max<base::duration>(
                          base::from_seconds(time * slow_factor_), least_step);
}

void engine_model::finish_step(std::vector<sequence_number>& changed)
{
    for (std::size_t i = 0; i < running_.size(); ++i)
    {
        auto& item = sequences_[running_[i]];
        if (item.state_ == sequence_state::decoding)
        {
            generate(item);
            changed.push_back(running_[i]);
            continue;
        }
        // What a cancelled sequence computed in this step was computed.
        item.prefilled_tokens_ += step_prefill_[i];
        auto const done = item.cached_tokens_ + item.prefilled_tokens_;
        if (item.state_ == sequence_state::prefilling &&
            done >= item.prompt_.tokens_)
        {
            finish_prefill(item);
            changed.push_back(running_[i]);
        }
    }
}

void engine_model::finish_prefill(sequence& item)
{
    cache_.insert(item.prompt_.chain_.blocks());
    item.state_ = sequence_state::decoding;
    item.first_token_ = step_end_ - item.arrived_;
    generate(item);
}

void engine_model::generate(sequence& item)
{
    // The cache holds answers too: a thread's next prompt repeats them.
    auto const word = answer_word(item.prompt_.hash_, item.generated_tokens_);
    item.prompt_.chain_.add(hash_word(word));
    ++item.generated_tokens_;
    if (item.generated_tokens_ >= item.output_tokens_)
    {
        item.state_ = sequence_state::finished;
        cache_.insert(item.prompt_.chain_.blocks());
    }
}

void engine_model::drop_ended()
{
    std::erase_if(running_,
                  [this](sequence_number number)
                  {
                      auto& item = sequences_[number];
                      if (item.ended())
                      {
                          // Its blocks are in the cache or lost.
                          item.prompt_.chain_ = {};
                      }
                      return item.ended();
                  });
}

void engine_model::record_load(base::time_point now)
{
    load_report load;
    load.running_ = static_cast<int>(running_.size());
    load.waiting_ = static_cast<int>(waiting_.size());
    load.cache_usage_ = cache_.usage();
    reports_.push_back({now, load});
    while (reports_.size() > 1 && reports_[1].at_ + settings_.report_lag_ < now)
    {
        reports_.pop_front();
    }
}

} // namespace tanagerlead::fakes
