#include "src/routing/configuration_check.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>

namespace tanagerlead::routing
{

namespace
{

using findings = std::vector<configuration_finding>;

std::string quoted(std::string const& name)
{
    return absl::StrCat("\"", name, "\"");
}

std::string name_of(route const& r)
{
    return absl::StrCat("route ", quoted(r.name_));
}

std::string name_of(workspace const& w)
{
    return absl::StrCat("workspace ", quoted(w.id_.str()));
}

std::string text_of(base::duration d)
{
    return absl::StrCat(base::milliseconds(d), " ms");
}

void add(findings& out, finding_kind kind, std::string text)
{
    out.push_back({kind, std::move(text)});
}

void check_match(route const& r, findings& out)
{
    if (r.host_.empty())
    {
        add(out, finding_kind::unreachable,
            absl::StrCat(name_of(r), " names no host and never matches"));
    }
    if (!r.prefix_.starts_with('/') || !r.prefix_.ends_with('/'))
    {
        add(out, finding_kind::unreachable,
            absl::StrCat(name_of(r), ": prefix ", quoted(r.prefix_),
                         " does not begin and end with a slash"));
    }
    if (r.resumable_ && r.kind_ != route_kind::stream)
    {
        add(out, finding_kind::unreachable,
            absl::StrCat(name_of(r),
                         " is no stream, so that it may be resumed has no "
                         "effect"));
    }
}

void check_limits(route const& r, findings& out)
{
    if (r.timeout_ <= base::duration{})
    {
        add(out, finding_kind::contradiction,
            absl::StrCat(name_of(r), ": its time limit is not positive"));
        return;
    }
    if (r.objective_ > r.timeout_)
    {
        add(out, finding_kind::contradiction,
            absl::StrCat(name_of(r), ": the latency objective of ",
                         text_of(r.objective_), " exceeds the time limit of ",
                         text_of(r.timeout_)));
    }
    if (r.gap_objective_ > r.timeout_)
    {
        add(out, finding_kind::contradiction,
            absl::StrCat(name_of(r), ": the longest pause of ",
                         text_of(r.gap_objective_),
                         " exceeds the time limit of ", text_of(r.timeout_)));
    }
}

void check_routes(configuration const& c, findings& out)
{
    std::map<std::pair<std::string_view, std::string_view>, route const*> first;
    for (auto const& r : c.routes())
    {
        auto const [at, is_new] = first.emplace(
            std::pair{std::string_view{r.host_}, std::string_view{r.prefix_}},
            &r);
        if (!is_new)
        {
            add(out, finding_kind::unreachable,
                absl::StrCat(name_of(r),
                             " never matches: ", name_of(*at->second),
                             " has its host ", quoted(r.host_), " and prefix ",
                             quoted(r.prefix_)));
        }
        check_match(r, out);
        check_limits(r, out);
    }
}

// A configuration may leave pools out if none of them has limits.
void check_pools(configuration const& c, findings& out)
{
    std::set<base::pool_id> known;
    for (auto const& limits : c.pools())
    {
        known.insert(limits.pool_);
    }
    std::set<base::pool_id> used;
    for (auto const& r : c.routes())
    {
        for (auto const& part : r.pools_)
        {
            used.insert(part.pool_);
            if (!known.empty() && !known.contains(part.pool_))
            {
                add(out, finding_kind::unreachable,
                    absl::StrCat(name_of(r), " uses pool ",
                                 quoted(part.pool_.str()),
                                 ", which does not exist"));
            }
        }
    }
    for (auto const& pool : known)
    {
        if (!used.contains(pool))
        {
            add(out, finding_kind::unreachable,
                absl::StrCat("pool ", quoted(pool.str()),
                             " is used by no route"));
        }
    }
}

void check_quota(workspace const& w, findings& out)
{
    if (w.rate_ > 0 && w.burst_ < w.default_tokens_)
    {
        add(out, finding_kind::contradiction,
            absl::StrCat(name_of(w), ": its burst of ", w.burst_,
                         " is less than one request, which counts as ",
                         w.default_tokens_));
    }
    if (w.rate_ == 0 && w.burst_ > 0)
    {
        add(out, finding_kind::contradiction,
            absl::StrCat(name_of(w), " has no rate, so its burst of ", w.burst_,
                         " limits nothing"));
    }
}

void check_keys(configuration const& c, findings& out)
{
    std::map<std::string_view, workspace const*> holders;
    for (auto const& w : c.workspaces())
    {
        if (w.keys_.empty())
        {
            add(out, finding_kind::unreachable,
                absl::StrCat(name_of(w), " has no key"));
        }
        for (auto const& key : w.keys_)
        {
            auto const [at, is_new] = holders.emplace(key, &w);
            if (key.empty())
            {
                add(out, finding_kind::unreachable,
                    absl::StrCat(name_of(w), " has an empty key"));
            }
            else if (!is_new && at->second == &w)
            {
                add(out, finding_kind::unreachable,
                    absl::StrCat(name_of(w), " has one of its keys twice"));
            }
            else if (!is_new)
            {
                add(out, finding_kind::contradiction,
                    absl::StrCat(name_of(w), " shares a key with ",
                                 name_of(*at->second)));
            }
        }
        check_quota(w, out);
    }
}

void check_callers(caller_limits const& limits, findings& out)
{
    if (limits.max_header_bytes_ == 0 ||
        limits.header_timeout_ <= base::duration{} ||
        limits.idle_timeout_ <= base::duration{})
    {
        add(out, finding_kind::contradiction,
            "the limits on headers and idle time admit no request");
    }
}

std::string pools_of(route const& r)
{
    std::string out;
    for (auto const& part : r.pools_)
    {
        absl::StrAppend(&out, out.empty() ? "" : ", ", part.pool_.str(), " ",
                        part.weight_);
    }
    return out;
}

std::string kind_of(route const& r)
{
    switch (r.kind_)
    {
    case route_kind::idempotent:
        return "idempotent";
    case route_kind::non_idempotent:
        return "non-idempotent";
    case route_kind::stream:
        break;
    }
    return r.resumable_ ? "resumable stream" : "stream";
}

/// A property of an entry that is compared and shown.
template <class Entry>
struct property
{
    char const* name_;
    std::string (*text_)(Entry const&);
};

constexpr property<route> route_properties[] = {
    {"host",
     [](route const& r)
     {
         return r.host_;
     }},
    {"prefix",
     [](route const& r)
     {
         return r.prefix_;
     }},
    {"kind", kind_of},
    {"pools", pools_of},
    {"time limit",
     [](route const& r)
     {
         return text_of(r.timeout_);
     }},
    {"objective",
     [](route const& r)
     {
         return text_of(r.objective_);
     }},
    {"longest pause",
     [](route const& r)
     {
         return text_of(r.gap_objective_);
     }},
    {"rank",
     [](route const& r)
     {
         return absl::StrCat(r.rank_);
     }},
    {"attempts",
     [](route const& r)
     {
         return absl::StrCat(r.max_attempts_);
     }},
    {"open to anonymous callers",
     [](route const& r) -> std::string
     {
         return r.allows_anonymous_ ? "yes" : "no";
     }},
};

constexpr property<workspace> workspace_properties[] = {
    {"rank",
     [](workspace const& w)
     {
         return w.rank_ ? absl::StrCat(*w.rank_) : std::string{"none"};
     }},
    {"rate",
     [](workspace const& w)
     {
         return absl::StrCat(w.rate_);
     }},
    {"burst",
     [](workspace const& w)
     {
         return absl::StrCat(w.burst_);
     }},
    {"unit",
     [](workspace const& w) -> std::string
     {
         return w.counts_tokens_ ? "tokens" : "requests";
     }},
    {"tokens of a request that states none",
     [](workspace const& w)
     {
         return absl::StrCat(w.default_tokens_);
     }},
};

constexpr property<pool_limits> pool_properties[] = {
    {"tokens in memory",
     [](pool_limits const& p)
     {
         return absl::StrCat(p.kv_capacity_tokens_);
     }},
};

constexpr property<caller_limits> caller_properties[] = {
    {"header bytes",
     [](caller_limits const& l)
     {
         return absl::StrCat(l.max_header_bytes_);
     }},
    {"body bytes",
     [](caller_limits const& l)
     {
         return absl::StrCat(l.max_body_bytes_);
     }},
    {"header time",
     [](caller_limits const& l)
     {
         return text_of(l.header_timeout_);
     }},
    {"idle time",
     [](caller_limits const& l)
     {
         return text_of(l.idle_timeout_);
     }},
};

template <class Entry, std::size_t Count>
void compare_entry(std::string const& name, Entry const& before,
                   Entry const& after,
                   property<Entry> const (&properties)[Count], findings& out)
{
    for (auto const& p : properties)
    {
        auto const old_text = p.text_(before);
        auto const new_text = p.text_(after);
        if (old_text != new_text)
        {
            add(out, finding_kind::difference,
                absl::StrCat(name, ": ", p.name_, " ", old_text, " -> ",
                             new_text));
        }
    }
}

void compare_keys(workspace const& before, workspace const& after,
                  findings& out)
{
    std::set<std::string_view> const old_keys(before.keys_.begin(),
                                              before.keys_.end());
    std::set<std::string_view> const new_keys(after.keys_.begin(),
                                              after.keys_.end());
    auto const missing = [](auto const& keys, auto const& from)
    {
        return std::count_if(keys.begin(), keys.end(),
                             [&](auto const& key)
                             { return !from.contains(key); });
    };
    auto const added = missing(new_keys, old_keys);
    auto const removed = missing(old_keys, new_keys);
    if (added + removed > 0)
    {
        add(out, finding_kind::difference,
            absl::StrCat(name_of(after), ": ", added, " keys added, ", removed,
                         " removed"));
    }
}

/// Compares entries by their names. The first of several with one name counts.
template <class Entry, class Name, class Compare>
void compare_entries(std::vector<Entry> const& before,
                     std::vector<Entry> const& after, Name name,
                     Compare compare_both, findings& out)
{
    std::map<std::string, Entry const*> old_entries;
    std::map<std::string, Entry const*> new_entries;
    for (auto const& entry : before)
    {
        old_entries.emplace(name(entry), &entry);
    }
    for (auto const& entry : after)
    {
        new_entries.emplace(name(entry), &entry);
    }
    for (auto const& [id, entry] : old_entries)
    {
        if (!new_entries.contains(id))
        {
            add(out, finding_kind::difference, absl::StrCat(id, " is removed"));
        }
    }
    for (auto const& [id, entry] : new_entries)
    {
        auto const old = old_entries.find(id);
        if (old == old_entries.end())
        {
            add(out, finding_kind::difference, absl::StrCat(id, " is added"));
        }
        else
        {
            compare_both(id, *old->second, *entry);
        }
    }
}

} // namespace

char const* name_of(finding_kind kind)
{
    switch (kind)
    {
    case finding_kind::unreachable:
        return "unreachable";
    case finding_kind::contradiction:
        return "contradiction";
    case finding_kind::difference:
        break;
    }
    return "difference";
}

std::vector<configuration_finding> check(configuration const& c)
{
    findings out;
    check_routes(c, out);
    check_pools(c, out);
    check_keys(c, out);
    check_callers(c.limits(), out);
    return out;
}

std::vector<configuration_finding> compare(configuration const& next,
                                           configuration const& in_force)
{
    findings out;
    if (next.version() <= in_force.version())
    {
        add(out, finding_kind::contradiction,
            absl::StrCat("version ", static_cast<std::uint64_t>(next.version()),
                         " is not above version ",
                         static_cast<std::uint64_t>(in_force.version()),
                         ", which is in force, and would be ignored"));
    }
    compare_entries(
        in_force.routes(), next.routes(),
        [](route const& r) { return name_of(r); },
        [&](std::string const& id, route const& before, route const& after)
        { compare_entry(id, before, after, route_properties, out); },
        out);
    compare_entries(
        in_force.pools(), next.pools(),
        [](pool_limits const& p)
        { return absl::StrCat("pool ", quoted(p.pool_.str())); },
        [&](std::string const& id, pool_limits const& before,
            pool_limits const& after)
        { compare_entry(id, before, after, pool_properties, out); },
        out);
    compare_entries(
        in_force.workspaces(), next.workspaces(),
        [](workspace const& w) { return name_of(w); },
        [&](std::string const& id, workspace const& before,
            workspace const& after)
        {
            compare_entry(id, before, after, workspace_properties, out);
            compare_keys(before, after, out);
        },
        out);
    compare_entry("limits of callers", in_force.limits(), next.limits(),
                  caller_properties, out);
    return out;
}

} // namespace tanagerlead::routing
