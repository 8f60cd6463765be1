#include "src/config/document.hpp"

#include "src/config/field_table.hpp"
#include "src/config/json_text.hpp"

#include <algorithm>

namespace tanagerlead::config
{

namespace
{

using nlohmann::json;

constexpr integer_range tier_range{0, base::max_tiers - 1};
constexpr integer_range wait_range_ms{1, 86'400'000};
constexpr integer_range waiting_range{1, 1'000'000};
constexpr integer_range generation_range{0, 1000};
constexpr integer_range slots_range{1, 65'536};
constexpr double largest_weight = 1e6;
constexpr std::int64_t usual_most_waiting = 1000;

std::string read_text(value_reader const& from, std::string const*)
{
    return from.sha256();
}

template <class Tag>
base::name_id<Tag> read_text(value_reader const& from,
                             base::name_id<Tag> const*)
{
    return base::name_id<Tag>{from.id()};
}

std::string const& as_text(std::string const& item)
{
    return item;
}

template <class Tag>
std::string const& as_text(base::name_id<Tag> const& item)
{
    return item.str();
}

/// An array of ids or hashes, each at most once.
template <class Item>
void read_list(value_reader const& from, std::vector<Item>& into)
{
    for (auto const& element : from.elements())
    {
        auto item = read_text(element, static_cast<Item const*>(nullptr));
        if (std::find(into.begin(), into.end(), item) != into.end())
        {
            element.fail("stands twice");
        }
        into.push_back(std::move(item));
    }
}

/// As `read_list`, and not empty.
template <class Item>
void read_filled_list(value_reader const& from, std::vector<Item>& into)
{
    read_list(from, into);
    if (from.value().is_array() && into.empty())
    {
        from.fail("must not be empty");
    }
}

template <class Item>
json write_list(std::vector<Item> const& from)
{
    auto out = json::array();
    for (auto const& item : from)
    {
        out.push_back(as_text(item));
    }
    return out;
}

base::tier read_tier(value_reader const& from)
{
    return static_cast<base::tier>(from.integer(tier_range));
}

constexpr field<tier_config> tier_fields[] = {
    {"tier", presence::required,
     [](value_reader const& from, tier_config& into)
     { into.tier_ = read_tier(from); },
     [](tier_config const& from) -> json
     {
         return index(from.tier_);
     }},
    {"longest_wait_ms", presence::required,
     [](value_reader const& from, tier_config& into)
     {
         into.longest_wait_ =
             std::chrono::milliseconds{from.integer(wait_range_ms)};
     },
     [](tier_config const& from) -> json
     {
         return std::chrono::duration_cast<std::chrono::milliseconds>(
                    from.longest_wait_)
             .count();
     }},
};

constexpr field<workspace_config> workspace_fields[] = {
    {"tier", presence::required,
     [](value_reader const& from, workspace_config& into)
     { into.tier_ = read_tier(from); },
     [](workspace_config const& from) -> json
     {
         return index(from.tier_);
     }},
    {"key_hashes", presence::optional,
     [](value_reader const& from, workspace_config& into)
     { read_list(from, into.key_hashes_); },
     [](workspace_config const& from)
     {
         return write_list(from.key_hashes_);
     }},
    {"pools", presence::required,
     [](value_reader const& from, workspace_config& into)
     { read_filled_list(from, into.pools_); },
     [](workspace_config const& from)
     {
         return write_list(from.pools_);
     }},
    {"weight", presence::optional,
     [](value_reader const& from, workspace_config& into)
     { into.weight_ = from.positive_number(largest_weight); },
     [](workspace_config const& from) -> json
     {
         return from.weight_;
     }},
    {"most_waiting", presence::optional,
     [](value_reader const& from, workspace_config& into)
     { into.most_waiting_ = from.integer(waiting_range); },
     [](workspace_config const& from) -> json
     {
         return from.most_waiting_;
     }},
};

constexpr field<pool_config> pool_fields[] = {
    {"kind", presence::required,
     [](value_reader const& from, pool_config& into)
     {
         auto const kind = from.text();
         if (from.value().is_string() && kind != "model" && kind != "service")
         {
             from.fail("must be \"model\" or \"service\"");
         }
         into.kind_ = kind == "service" ? pool_kind::service : pool_kind::model;
     },
     [](pool_config const& from) -> json
     {
         return from.kind_ == pool_kind::service ? "service" : "model";
     }},
};

constexpr field<target_config> target_fields[] = {
    {"pools", presence::required,
     [](value_reader const& from, target_config& into)
     { read_filled_list(from, into.pools_); },
     [](target_config const& from)
     {
         return write_list(from.pools_);
     }},
    {"address", presence::required,
     [](value_reader const& from, target_config& into)
     { into.address_ = from.address(); },
     [](target_config const& from) -> json
     {
         return from.address_.str();
     }},
    {"data_centre", presence::required,
     [](value_reader const& from, target_config& into)
     { into.data_centre_ = base::data_centre_id{from.id()}; },
     [](target_config const& from) -> json
     {
         return from.data_centre_.str();
     }},
    {"generation", presence::optional,
     [](value_reader const& from, target_config& into)
     { into.generation_ = static_cast<int>(from.integer(generation_range)); },
     [](target_config const& from) -> json
     {
         return from.generation_;
     }},
    {"slots", presence::optional,
     [](value_reader const& from, target_config& into)
     { into.slots_ = static_cast<int>(from.integer(slots_range)); },
     [](target_config const& from) -> json
     {
         return from.slots_;
     }},
    {"checks_fencing", presence::optional,
     [](value_reader const& from, target_config& into)
     { into.checks_fencing_ = from.boolean(); },
     [](target_config const& from) -> json
     {
         return from.checks_fencing_;
     }},
    {"draining", presence::optional,
     [](value_reader const& from, target_config& into)
     { into.draining_ = from.boolean(); },
     [](target_config const& from) -> json
     {
         return from.draining_;
     }},
};

constexpr field<data_centre_group> group_fields[] = {
    {"data_centres", presence::required,
     [](value_reader const& from, data_centre_group& into)
     { read_filled_list(from, into.data_centres_); },
     [](data_centre_group const& from)
     {
         return write_list(from.data_centres_);
     }},
};

void set_id(tier_config& into, std::string const& id)
{
    into.name_ = id;
}

void set_id(workspace_config& into, std::string const& id)
{
    into.id_ = base::workspace_id{id};
    into.most_waiting_ = usual_most_waiting;
}

void set_id(pool_config& into, std::string const& id)
{
    into.id_ = base::pool_id{id};
}

void set_id(target_config& into, std::string const& id)
{
    into.id_ = base::target_id{id};
}

void set_id(data_centre_group& into, std::string const& id)
{
    into.name_ = id;
}

std::string const& id_of(tier_config const& from)
{
    return from.name_;
}

std::string const& id_of(data_centre_group const& from)
{
    return from.name_;
}

template <class Record>
std::string const& id_of(Record const& from)
{
    return from.id_.str();
}

template <class Record, std::size_t Count>
void read_section(value_reader const& from,
                  field<Record> const (&fields)[Count],
                  std::vector<Record>& into)
{
    if (!from.is_object())
    {
        return;
    }
    for (auto const& [id, value] : from.value().items())
    {
        auto const entry = from.child(id, value);
        if (auto why = why_not_id(id); !why.empty())
        {
            entry.fail("its id " + why);
        }
        Record record;
        set_id(record, id);
        read_fields(entry, std::span<field<Record> const>{fields}, record);
        into.push_back(std::move(record));
    }
}

template <class Record, std::size_t Count>
json write_section(std::vector<Record> const& from,
                   field<Record> const (&fields)[Count])
{
    auto out = json::object();
    for (auto const& record : from)
    {
        out[id_of(record)] =
            write_fields(record, std::span<field<Record> const>{fields});
    }
    return out;
}

constexpr field<configuration> section_fields[] = {
    {"tiers", presence::optional,
     [](value_reader const& from, configuration& into)
     { read_section(from, tier_fields, into.tiers_); },
     [](configuration const& from)
     {
         return write_section(from.tiers_, tier_fields);
     }},
    {"workspaces", presence::optional,
     [](value_reader const& from, configuration& into)
     { read_section(from, workspace_fields, into.workspaces_); },
     [](configuration const& from)
     {
         return write_section(from.workspaces_, workspace_fields);
     }},
    {"pools", presence::optional,
     [](value_reader const& from, configuration& into)
     { read_section(from, pool_fields, into.pools_); },
     [](configuration const& from)
     {
         return write_section(from.pools_, pool_fields);
     }},
    {"targets", presence::optional,
     [](value_reader const& from, configuration& into)
     { read_section(from, target_fields, into.targets_); },
     [](configuration const& from)
     {
         return write_section(from.targets_, target_fields);
     }},
    {"groups", presence::optional,
     [](value_reader const& from, configuration& into)
     { read_section(from, group_fields, into.groups_); },
     [](configuration const& from)
     {
         return write_section(from.groups_, group_fields);
     }},
};

} // namespace

checked_configuration read_configuration(json const& document,
                                         base::config_version version)
{
    checked_configuration out;
    out.configuration_.version_ = version;
    read_fields({document, "", out.errors_},
                std::span<field<configuration> const>{section_fields},
                out.configuration_);
    std::stable_sort(out.configuration_.tiers_.begin(),
                     out.configuration_.tiers_.end(),
                     [](tier_config const& a, tier_config const& b)
                     { return a.tier_ < b.tier_; });
    check_references(out.configuration_, out.errors_);
    return out;
}

checked_configuration parse_configuration(std::string_view text,
                                          base::config_version version)
{
    std::vector<field_error> errors;
    auto const document = parse_json(text, errors);
    if (!errors.empty())
    {
        checked_configuration out;
        out.configuration_.version_ = version;
        out.errors_ = std::move(errors);
        return out;
    }
    return read_configuration(document, version);
}

json write_configuration(configuration const& from)
{
    return write_fields(from,
                        std::span<field<configuration> const>{section_fields});
}

std::string serialize(configuration const& from)
{
    return write_configuration(from).dump();
}

} // namespace tanagerlead::config
