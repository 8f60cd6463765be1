#include "src/external/etcd_codec.hpp"

#include "src/base/base64.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::external::etcd
{

namespace
{

using nlohmann::json;

/// The gateway writes 64-bit numbers as strings; some versions as numbers.
std::int64_t read_number(json const& object, char const* name)
{
    auto const found = object.find(name);
    if (found == object.end())
    {
        return 0;
    }
    if (found->is_string())
    {
        return std::stoll(found->get<std::string>());
    }
    return found->get<std::int64_t>();
}

std::string read_bytes(json const& object, char const* name)
{
    auto const decoded = base::base64_decode(object.value(name, std::string{}));
    if (!decoded)
    {
        throw std::invalid_argument{std::string{name} + " is not base64"};
    }
    return *decoded;
}

key_value_entry read_entry(json const& object)
{
    return {read_bytes(object, "key"), read_bytes(object, "value"),
            read_number(object, "mod_revision")};
}

json encode_write(key_value_write const& write)
{
    json body{{"key", base::base64_encode(write.key_)}};
    if (!write.value_)
    {
        return {{"request_delete_range", body}};
    }
    body["value"] = base::base64_encode(*write.value_);
    return {{"request_put", body}};
}

json encode_compare(key_value_write const& write)
{
    return {{"key", base::base64_encode(write.key_)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(*write.expected_revision_)}};
}

/// Runs `decode` on the parsed text; whatever it throws makes it corrupt.
template <class Decode>
auto decode_json(std::string const& text, char const* step, Decode decode)
    -> base::result<decltype(decode(json{}))>
{
    try
    {
        return decode(json::parse(text));
    }
    catch (std::exception const& problem)
    {
        return base::fail(base::error_code::corrupt, step, {}, problem.what());
    }
}

watch_line read_watch_line(json const& line)
{
    watch_line out;
    if (!line.contains("result"))
    {
        out.cancelled_ = true;
        return out;
    }
    auto const& result = line.at("result");
    out.created_ = result.value("created", false);
    out.cancelled_ = result.value("canceled", false);
    for (auto const& event : result.value("events", json::array()))
    {
        auto entry = read_entry(event.at("kv"));
        if (event.value("type", std::string{"PUT"}) == "DELETE")
        {
            entry.revision_ = 0;
        }
        out.entries_.push_back(std::move(entry));
    }
    return out;
}

} // namespace

std::string encode_range(std::string const& key, std::string const& end)
{
    json body{{"key", base::base64_encode(key)}};
    if (!end.empty())
    {
        body["range_end"] = base::base64_encode(end);
    }
    return body.dump();
}

std::string encode_commit(std::vector<key_value_write> const& writes)
{
    json compares = json::array();
    json operations = json::array();
    for (auto const& write : writes)
    {
        if (write.expected_revision_)
        {
            compares.push_back(encode_compare(write));
        }
        operations.push_back(encode_write(write));
    }
    return json{{"compare", compares}, {"success", operations}}.dump();
}

std::string encode_watch(std::string const& key)
{
    return json{{"create_request", {{"key", base::base64_encode(key)}}}}.dump();
}

std::string end_of_prefix(std::string prefix)
{
    while (!prefix.empty() && prefix.back() == '\xff')
    {
        prefix.pop_back();
    }
    if (prefix.empty())
    {
        // etcd's word for "to the last key".
        return std::string(1, '\0');
    }
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

base::result<std::vector<key_value_entry>> decode_range(std::string const& body)
{
    return decode_json(body, "decode range",
                       [](json const& answer)
                       {
                           std::vector<key_value_entry> entries;
                           for (auto const& entry :
                                answer.value("kvs", json::array()))
                           {
                               entries.push_back(read_entry(entry));
                           }
                           return entries;
                       });
}

base::result<commit_outcome> decode_commit(std::string const& body)
{
    return decode_json(body, "decode commit",
                       [](json const& answer)
                       {
                           // The gateway leaves false out.
                           return answer.value("succeeded", false)
                                      ? commit_outcome::committed
                                      : commit_outcome::conflict;
                       });
}

base::result<watch_line> decode_watch_line(std::string const& line)
{
    return decode_json(line, "decode watch", read_watch_line);
}

} // namespace tanagerlead::external::etcd
