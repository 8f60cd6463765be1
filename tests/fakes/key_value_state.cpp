#include "tests/fakes/key_value_state.hpp"

#include <algorithm>

namespace tanagerlead::fakes
{

bool key_value_state::holds(comparison const& wanted) const
{
    static stored_value const absent;
    auto const found = values_.find(wanted.key_);
    auto const& present = found == values_.end() ? absent : found->second;
    switch (wanted.field_)
    {
    case compare_field::mod_revision:
        return present.mod_revision_ == wanted.number_;
    case compare_field::create_revision:
        return present.create_revision_ == wanted.number_;
    case compare_field::version:
        return present.version_ == wanted.number_;
    case compare_field::value:
        return found != values_.end() && present.value_ == wanted.value_;
    }
    return false;
}

void key_value_state::apply(operation const& work)
{
    if (!work.value_)
    {
        if (values_.erase(work.key_) > 0)
        {
            changes_.push_back({revision_, work.key_, std::nullopt});
        }
        return;
    }
    auto& entry = values_[work.key_];
    entry.value_ = *work.value_;
    entry.mod_revision_ = revision_;
    entry.create_revision_ =
        entry.version_ == 0 ? revision_ : entry.create_revision_;
    ++entry.version_;
    entry.lease_ = work.lease_;
    changes_.push_back({revision_, work.key_, entry});
}

bool key_value_state::transact(std::vector<comparison> const& comparisons,
                               std::vector<operation> const& operations)
{
    auto const held = [this](comparison const& wanted)
    {
        return holds(wanted);
    };
    if (!std::all_of(comparisons.begin(), comparisons.end(), held))
    {
        return false;
    }
    ++revision_;
    for (auto const& work : operations)
    {
        apply(work);
    }
    return true;
}

std::int64_t key_value_state::grant(base::duration time_to_live,
                                    base::time_point now)
{
    auto const id = next_lease_++;
    leases_[id] = {time_to_live, now + time_to_live};
    return id;
}

bool key_value_state::keep_alive(std::int64_t id, base::time_point now)
{
    expire(now);
    auto const found = leases_.find(id);
    if (found == leases_.end())
    {
        return false;
    }
    found->second.lapses_ = now + found->second.time_to_live_;
    return true;
}

void key_value_state::revoke(std::int64_t id)
{
    leases_.erase(id);
    std::vector<operation> deletes;
    for (auto const& [key, entry] : values_)
    {
        if (entry.lease_ == id)
        {
            deletes.push_back({key, std::nullopt, 0});
        }
    }
    transact({}, deletes);
}

void key_value_state::expire(base::time_point now)
{
    std::vector<std::int64_t> lapsed;
    for (auto const& [id, held] : leases_)
    {
        if (held.lapses_ <= now)
        {
            lapsed.push_back(id);
        }
    }
    for (auto const id : lapsed)
    {
        revoke(id);
    }
}

} // namespace tanagerlead::fakes
