#include "src/config/document.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace tanagerlead::config
{

namespace
{

/// Finds references that lead nowhere and things that must be unique.
class reference_check
{
public:
    reference_check(configuration const& checked,
                    std::vector<field_error>& errors)
        : checked_{checked}, errors_{errors}
    {
        for (auto const& pool : checked.pools_)
        {
            pools_.insert(pool.id_);
        }
    }

    void run()
    {
        check_tiers();
        check_targets();
        check_workspaces();
        check_groups();
    }

private:
    void note(std::initializer_list<std::string> steps, std::string message)
    {
        std::string pointer;
        for (auto const& step : steps)
        {
            pointer = child_pointer(pointer, step);
        }
        errors_.push_back({std::move(pointer), std::move(message)});
    }

    /// Notes `value` when an earlier owner has it.
    template <class Value>
    void note_second(absl::flat_hash_map<Value, std::string>& owners,
                     Value const& value, std::string const& owner,
                     std::initializer_list<std::string> steps)
    {
        auto const [first, is_new] = owners.emplace(value, owner);
        if (!is_new)
        {
            note(steps, "is also that of " + first->second);
        }
    }

    void check_tiers()
    {
        absl::flat_hash_map<base::tier, std::string> owners;
        for (auto const& tier : checked_.tiers_)
        {
            note_second(owners, tier.tier_, tier.name_,
                        {"tiers", tier.name_, "tier"});
            tiers_.insert(tier.tier_);
        }
    }

    void check_pools(char const* section, std::string const& id,
                     std::vector<base::pool_id> const& pools)
    {
        for (std::size_t i = 0; i < pools.size(); ++i)
        {
            if (!pools_.contains(pools[i]))
            {
                note({section, id, "pools", std::to_string(i)},
                     "names no pool: " + pools[i].str());
            }
        }
    }

    void check_targets()
    {
        absl::flat_hash_map<base::address, std::string> owners;
        for (auto const& target : checked_.targets_)
        {
            auto const& id = target.id_.str();
            check_pools("targets", id, target.pools_);
            if (!target.address_.empty())
            {
                note_second(owners, target.address_, id,
                            {"targets", id, "address"});
            }
            if (!target.draining_)
            {
                served_.insert(target.pools_.begin(), target.pools_.end());
            }
        }
    }

    bool is_served(workspace_config const& workspace) const
    {
        for (auto const& pool : workspace.pools_)
        {
            if (served_.contains(pool))
            {
                return true;
            }
        }
        return false;
    }

    void check_workspaces()
    {
        absl::flat_hash_map<std::string, std::string> owners;
        for (auto const& workspace : checked_.workspaces_)
        {
            auto const& id = workspace.id_.str();
            if (!tiers_.contains(workspace.tier_))
            {
                note({"workspaces", id, "tier"},
                     "names no tier: " +
                         std::to_string(base::index(workspace.tier_)));
            }
            check_pools("workspaces", id, workspace.pools_);
            for (std::size_t i = 0; i < workspace.key_hashes_.size(); ++i)
            {
                note_second(
                    owners, workspace.key_hashes_[i], id,
                    {"workspaces", id, "key_hashes", std::to_string(i)});
            }
            if (!workspace.pools_.empty() && !is_served(workspace))
            {
                note({"workspaces", id, "pools"},
                     "leave the workspace without any target that is not "
                     "draining");
            }
        }
    }

    void check_groups()
    {
        absl::flat_hash_map<base::data_centre_id, std::string> owners;
        for (auto const& group : checked_.groups_)
        {
            for (std::size_t i = 0; i < group.data_centres_.size(); ++i)
            {
                note_second(
                    owners, group.data_centres_[i], group.name_,
                    {"groups", group.name_, "data_centres", std::to_string(i)});
            }
        }
    }

    configuration const& checked_;
    std::vector<field_error>& errors_;
    absl::flat_hash_set<base::pool_id> pools_;
    absl::flat_hash_set<base::tier> tiers_;
    /// Pools with a target that is not draining.
    absl::flat_hash_set<base::pool_id> served_;
};

} // namespace

void check_references(configuration const& checked,
                      std::vector<field_error>& errors)
{
    reference_check{checked, errors}.run();
}

} // namespace tanagerlead::config
