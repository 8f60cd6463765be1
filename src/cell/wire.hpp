#pragma once

#include "src/cell/messages.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <stdexcept>

/// Field by field layout of the messages, for `messages.cpp` only. One
/// function both writes and reads, so that the two cannot differ. Reading
/// throws on any value out of bounds, before memory is taken for it.
namespace tanagerlead::cell::wire
{

/// What the fields that carry times are relative to.
struct context
{
    base::time_point now_;
};

inline void require(bool holds)
{
    if (!holds)
    {
        throw std::range_error{"value out of bounds"};
    }
}

template <class Archive>
constexpr bool reads = Archive::is_loading::value;

template <class Archive>
void count(Archive& archive, std::size_t& n, std::size_t most)
{
    auto wide = static_cast<std::uint16_t>(n);
    require(n <= most);
    archive(wide);
    require(wide <= most);
    n = wide;
}

template <class Archive>
void text(Archive& archive, std::string& value, std::size_t most)
{
    auto size = value.size();
    count(archive, size, most);
    value.resize(size);
    archive(cereal::binary_data(value.data(), size));
}

template <class Archive, class Tag>
void name(Archive& archive, base::name_id<Tag>& id)
{
    auto value = id.str();
    text(archive, value, message_limits::most_name_bytes);
    if constexpr (reads<Archive>)
    {
        id = base::name_id<Tag>{std::move(value)};
    }
}

template <class Archive, class Enum>
void enumerator(Archive& archive, Enum& value, Enum last)
{
    auto number = static_cast<std::uint8_t>(value);
    archive(number);
    require(number <= static_cast<std::uint8_t>(last));
    value = static_cast<Enum>(number);
}

template <class Archive, class Number>
void strong_number(Archive& archive, Number& value)
{
    auto number = static_cast<std::underlying_type_t<Number>>(value);
    archive(number);
    value = static_cast<Number>(number);
}

template <class Archive>
void flag(Archive& archive, bool& value)
{
    std::uint8_t number = value ? 1 : 0;
    archive(number);
    require(number <= 1);
    value = number == 1;
}

template <class Archive>
void tokens(Archive& archive, base::token_count& value)
{
    constexpr base::token_count most = 1'000'000'000;
    archive(value);
    require(value >= 0 && value <= most);
}

template <class Archive>
void span(Archive& archive, base::duration& value)
{
    constexpr base::duration most = std::chrono::hours{24 * 365};
    auto ticks = value.count();
    archive(ticks);
    value = base::duration{ticks};
    require(value <= most && value >= -most);
}

/// As time from now; the far future stays the far future.
template <class Archive>
void moment(Archive& archive, base::time_point& value, context const& c)
{
    auto never = value == base::time_point::max();
    flag(archive, never);
    if (never)
    {
        value = base::time_point::max();
        return;
    }
    auto from_now = value - c.now_;
    span(archive, from_now);
    value = c.now_ + from_now;
}

template <class Archive>
void request(Archive& archive, base::request_id& id)
{
    archive(id.origin_, id.sequence_);
}

template <class Archive>
void requests(Archive& archive, std::vector<base::request_id>& ids)
{
    auto size = ids.size();
    count(archive, size, message_limits::most_queried);
    ids.resize(size);
    for (auto& id : ids)
    {
        request(archive, id);
    }
}

template <class Archive>
void prefix(Archive& archive, sched::prefix_hashes& hashes)
{
    auto size = hashes.size();
    count(archive, size, message_limits::most_prefix_blocks);
    hashes.resize(size);
    for (auto& hash : hashes)
    {
        archive(hash);
    }
}

template <class Archive>
void tier(Archive& archive, base::tier& value)
{
    enumerator(archive, value, base::tier{base::max_tiers - 1});
}

template <class Archive>
void item(Archive& archive, sched::work_item& value, context const& c)
{
    request(archive, value.request_);
    name(archive, value.entry_);
    name(archive, value.workspace_);
    name(archive, value.pool_);
    tier(archive, value.tier_);
    tokens(archive, value.prompt_tokens_);
    tokens(archive, value.max_output_tokens_);
    prefix(archive, value.prefix_);
    archive(value.fingerprint_);
    moment(archive, value.received_, c);
    moment(archive, value.deadline_, c);
}

template <class Archive>
void optional_item(Archive& archive, std::optional<sched::work_item>& value,
                   context const& c)
{
    auto present = value.has_value();
    flag(archive, present);
    if (!present)
    {
        value.reset();
        return;
    }
    if (!value)
    {
        value.emplace();
    }
    item(archive, *value, c);
}

template <class Archive>
void report(Archive& archive, numbered_report& value)
{
    strong_number(archive, value.revision_);
    request(archive, value.report_.request_);
    name(archive, value.report_.target_);
    enumerator(archive, value.report_.event_, sched::dispatch_event::declined);
    span(archive, value.report_.elapsed_);
    tokens(archive, value.report_.output_tokens_);
    tokens(archive, value.report_.cached_tokens_);
}

template <class Archive>
void fields(Archive& archive, request_update& m, context const& c)
{
    name(archive, m.cell_);
    request(archive, m.request_);
    strong_number(archive, m.revision_);
    enumerator(archive, m.state_, request_state::ended);
    optional_item(archive, m.item_, c);
    name(archive, m.target_);
    auto size = m.reports_.size();
    count(archive, size, message_limits::most_reports);
    m.reports_.resize(size);
    for (auto& one : m.reports_)
    {
        report(archive, one);
    }
}

template <class Archive>
void fields(Archive& archive, update_acknowledgement& m, context const& /*c*/)
{
    name(archive, m.cell_);
    strong_number(archive, m.epoch_);
    request(archive, m.request_);
    strong_number(archive, m.revision_);
}

template <class Archive>
void fields(Archive& archive, decision_message& m, context const& /*c*/)
{
    name(archive, m.cell_);
    strong_number(archive, m.epoch_);
    request(archive, m.request_);
    archive(m.number_);
    name(archive, m.target_);
    enumerator(archive, m.cause_, sched::refusal_cause::store_unavailable);
    span(archive, m.retry_after_);
    flag(archive, m.expired_);
}

template <class Archive>
void fields(Archive& archive, decision_answer& m, context const& /*c*/)
{
    name(archive, m.cell_);
    request(archive, m.request_);
    archive(m.number_);
    flag(archive, m.used_);
}

template <class Archive>
void fields(Archive& archive, cell_heartbeat& m, context const& /*c*/)
{
    name(archive, m.cell_);
    strong_number(archive, m.epoch_);
    tier(archive, m.permitted_);
    span(archive, m.valid_for_);
    for (auto& waiting : m.waiting_)
    {
        archive(waiting);
    }
}

template <class Archive>
void fields(Archive& archive, status_query& m, context const& /*c*/)
{
    name(archive, m.cell_);
    requests(archive, m.requests_);
}

template <class Archive>
void fields(Archive& archive, not_held& m, context const& /*c*/)
{
    name(archive, m.cell_);
    requests(archive, m.requests_);
}

template <class Archive>
void fields(Archive& archive, suspicion_notice& m, context const& /*c*/)
{
    auto& suspicion = m.suspicion_;
    archive(suspicion.fingerprint_);
    auto size = suspicion.crashes_.size();
    count(archive, size, sched::quarantine::crashes_for_quarantine);
    suspicion.crashes_.resize(size);
    for (auto& death : suspicion.crashes_)
    {
        name(archive, death.target_);
        span(archive, death.age_);
        // Nothing is known of the future.
        require(death.age_ >= base::duration::zero());
    }
    span(archive, suspicion.cleared_age_);
}

} // namespace tanagerlead::cell::wire
