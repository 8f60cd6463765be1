#include "src/config/patch.hpp"

#include "src/config/json_text.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::config
{

namespace
{

using nlohmann::json;

constexpr char const* patch_pointer = "/patch";

/// Applies one operation after the other, to name the one that fails.
void apply_operations(json& document, json const& operations,
                      std::vector<field_error>& errors)
{
    if (!operations.is_array())
    {
        errors.push_back({patch_pointer, "must be an array of operations"});
        return;
    }
    for (std::size_t i = 0; i < operations.size(); ++i)
    {
        try
        {
            document.patch_inplace(json::array({operations[i]}));
        }
        catch (json::exception const& problem)
        {
            errors.push_back({child_pointer(patch_pointer, std::to_string(i)),
                              problem.what()});
            return;
        }
    }
}

void apply(json& document, patch_kind kind, json const& change,
           std::vector<field_error>& errors)
{
    if (kind == patch_kind::json)
    {
        apply_operations(document, change, errors);
        return;
    }
    if (!change.is_object())
    {
        errors.push_back({patch_pointer, "must be an object"});
        return;
    }
    document.merge_patch(change);
}

/// Descends into objects only: an array that differs is one change.
void compare(json const& before, json const& after, std::string const& pointer,
             std::vector<field_change>& changes)
{
    if (before == after)
    {
        return;
    }
    if (!before.is_object() || !after.is_object())
    {
        changes.push_back({"replace", pointer, before.dump(), after.dump()});
        return;
    }
    for (auto const& [name, value] : before.items())
    {
        auto const step = child_pointer(pointer, name);
        auto const found = after.find(name);
        if (found == after.end())
        {
            changes.push_back({"remove", step, value.dump(), ""});
        }
        else
        {
            compare(value, *found, step, changes);
        }
    }
    for (auto const& [name, value] : after.items())
    {
        if (!before.contains(name))
        {
            changes.push_back(
                {"add", child_pointer(pointer, name), "", value.dump()});
        }
    }
}

} // namespace

checked_configuration apply_patch(configuration const& to, patch const& with,
                                  base::config_version version)
{
    checked_configuration refused;
    auto const change = parse_json(with.text_, refused.errors_);
    for (auto& error : refused.errors_)
    {
        error.pointer_ = patch_pointer + error.pointer_;
    }
    if (!refused.ok())
    {
        return refused;
    }
    auto document = write_configuration(to);
    apply(document, with.kind_, change, refused.errors_);
    if (!refused.ok())
    {
        return refused;
    }
    return read_configuration(document, version);
}

std::vector<field_change> list_changes(configuration const& before,
                                       configuration const& after)
{
    std::vector<field_change> changes;
    compare(write_configuration(before), write_configuration(after), "",
            changes);
    return changes;
}

} // namespace tanagerlead::config
