#pragma once

#include "src/config/value_reader.hpp"

#include <nlohmann/json.hpp>

#include <span>

/// Included by sources only: tables that read and write the members of a
/// record.
namespace tanagerlead::config
{

enum class presence
{
    required,
    optional,
};

/// One member of a JSON object and the record's side of it.
template <class Record>
struct field
{
    char const* name_;
    presence presence_;
    void (*read_)(value_reader const& from, Record& into);
    nlohmann::json (*write_)(Record const& from);
};

template <class Record>
bool has_field(std::span<field<Record> const> fields, std::string const& name)
{
    for (auto const& each : fields)
    {
        if (name == each.name_)
        {
            return true;
        }
    }
    return false;
}

/// Reads each member named in the table; notes missing and unknown ones.
template <class Record>
void read_fields(value_reader const& from,
                 std::span<field<Record> const> fields, Record& into)
{
    if (!from.is_object())
    {
        return;
    }
    for (auto const& each : fields)
    {
        auto const found = from.value().find(each.name_);
        if (found != from.value().end())
        {
            each.read_(from.child(each.name_, *found), into);
        }
        else if (each.presence_ == presence::required)
        {
            from.child(each.name_, nullptr).fail("is missing");
        }
    }
    for (auto const& [name, value] : from.value().items())
    {
        if (!has_field(fields, name))
        {
            from.child(name, value).fail("is not known");
        }
    }
}

template <class Record>
nlohmann::json write_fields(Record const& from,
                            std::span<field<Record> const> fields)
{
    auto out = nlohmann::json::object();
    for (auto const& each : fields)
    {
        out[each.name_] = each.write_(from);
    }
    return out;
}

} // namespace tanagerlead::config
