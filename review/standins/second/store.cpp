#include "store.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace tanagerlead::review
{

using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode(std::string const& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t word = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            auto const byte = i + k < bytes.size()
                                  ? static_cast<unsigned char>(bytes[i + k])
                                  : 0U;
            word = word << 8U | byte;
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            auto const six = word >> (18 - 6 * k) & 63U;
            out.push_back(i + k <= bytes.size() ? digits[six] : '=');
        }
    }
    return out;
}

std::string decode(std::string const& text)
{
    std::string out;
    std::uint32_t word = 0;
    int bits = 0;
    for (auto const c : text)
    {
        auto const at = digits.find(c);
        if (at == std::string_view::npos)
        {
            break;
        }
        word = word << 6U | static_cast<std::uint32_t>(at);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out.push_back(
                static_cast<char>(word >> static_cast<unsigned>(bits) & 255U));
        }
    }
    return out;
}

response answer_with(int status, std::string body)
{
    response out;
    out.status_ = status;
    out.headers_["Content-Type"] = "application/json";
    out.headers_["Store-Era"] = "1";
    out.body_ = std::move(body);
    return out;
}

/// The number after the last slash of the path.
std::uint64_t last_number(request const& asked)
{
    auto const path = asked.path();
    return std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
}

} // namespace

store::store(address const& at)
    : server_{at, [this](connection& from, request const& asked)
              {
                  return answer(from, asked);
              }}
{
}

void store::put(std::string const& key, std::string const& value)
{
    std::scoped_lock const lock{mutex_};
    put_locked(key, value, 0);
    changed_.notify_all();
}

void store::remove(std::string const& key)
{
    std::scoped_lock const lock{mutex_};
    remove_locked(key);
    changed_.notify_all();
}

void store::put_locked(std::string const& key, std::string value,
                       std::uint64_t lease_id)
{
    auto& it = items_[key];
    it.value_ = std::move(value);
    it.revision_ = ++revision_;
    it.created_ = it.created_ == 0 ? revision_ : it.created_;
    it.lease_ = lease_id;
    history_.push_back({revision_, key, false});
}

void store::remove_locked(std::string const& key)
{
    if (items_.erase(key) > 0)
    {
        history_.push_back({++revision_, key, true});
    }
}

void store::expire_locked()
{
    auto const now = steady::now();
    std::vector<std::string> ended;
    for (auto const& [key, it] : items_)
    {
        auto const found = leases_.find(it.lease_);
        if (it.lease_ != 0 &&
            (found == leases_.end() || found->second.ends_ <= now))
        {
            ended.push_back(key);
        }
    }
    for (auto const& key : ended)
    {
        remove_locked(key);
    }
    std::erase_if(leases_,
                  [now](auto const& each) { return each.second.ends_ <= now; });
}

bool store::answer(connection& from, request const& asked)
{
    auto const path = asked.path();
    response out = answer_with(404, "{}");
    if (path == "/v1/kv-range")
    {
        out = list(asked);
    }
    else if (path == "/v1/kv-watch")
    {
        out = watch(asked);
    }
    else if (path == "/v1/kv-key")
    {
        out = read(asked);
    }
    else if (path == "/v1/kv-txn")
    {
        out = transact(asked);
    }
    else if (path == "/v1/kv-lease")
    {
        out = grant(asked);
    }
    else if (path.starts_with("/v1/kv-keep/"))
    {
        out = keep(asked);
    }
    else if (path.starts_with("/v1/kv-lease-end/"))
    {
        out = end_lease(asked);
    }
    return from.write(to_text(out));
}

std::string store::item_text(std::string const& key, item const& it) const
{
    json out;
    out["Key"] = key;
    out["Value"] = encode(it.value_);
    out["Revision"] = it.revision_;
    out["CreateRevision"] = it.created_;
    out["Lease"] = it.lease_;
    return out.dump();
}

response store::list(request const& asked)
{
    constexpr int page_items = 500;
    auto const prefix = asked.query("Prefix");
    auto const after = asked.query("After");
    std::scoped_lock const lock{mutex_};
    expire_locked();
    std::string text;
    auto at = items_.upper_bound(std::max(prefix, after));
    if (after < prefix && items_.contains(prefix))
    {
        at = items_.find(prefix);
    }
    int count = 0;
    for (; at != items_.end() && at->first.starts_with(prefix) &&
           count < page_items;
         ++at, ++count)
    {
        text += (count == 0 ? "" : ",") + item_text(at->first, at->second);
    }
    auto const has_more = at != items_.end() && at->first.starts_with(prefix);
    return answer_with(
        200, "{\"Items\":[" + text +
                 "],\"HasMore\":" + (has_more ? "true" : "false") +
                 ",\"CurrentRev\":" + std::to_string(revision_) + "}");
}

std::string store::changes_text(std::string const& prefix,
                                std::uint64_t after) const
{
    std::string text;
    for (auto const& each : history_)
    {
        if (each.revision_ <= after || !each.key_.starts_with(prefix))
        {
            continue;
        }
        auto const found = items_.find(each.key_);
        if (each.is_removal_)
        {
            json out;
            out["Key"] = each.key_;
            out["Revision"] = each.revision_;
            out["Deleted"] = true;
            text += (text.empty() ? "" : ",") + out.dump();
        }
        else if (found != items_.end() &&
                 found->second.revision_ == each.revision_)
        {
            text += (text.empty() ? "" : ",") +
                    item_text(found->first, found->second);
        }
    }
    return text;
}

response store::watch(request const& asked)
{
    auto const prefix = asked.query("Prefix");
    auto const after = std::strtoull(asked.query("After").c_str(), nullptr, 10);
    auto const ends =
        steady::now() + milliseconds{std::atoll(asked.query("WaitMs").c_str())};
    std::unique_lock lock{mutex_};
    std::string text;
    while (true)
    {
        expire_locked();
        text = changes_text(prefix, after);
        auto const now = steady::now();
        if (!text.empty() || now >= ends)
        {
            break;
        }
        changed_.wait_until(lock, std::min(ends, now + 100ms));
    }
    return answer_with(200, "{\"events\":[" + text + "],\"CurrentRev\":" +
                                std::to_string(revision_) + "}");
}

response store::read(request const& asked)
{
    std::scoped_lock const lock{mutex_};
    expire_locked();
    auto const found = items_.find(asked.query("Key"));
    if (found == items_.end())
    {
        return answer_with(404, "{}");
    }
    auto text = item_text(found->first, found->second);
    text.pop_back();
    return answer_with(
        200, text + ",\"CurrentRev\":" + std::to_string(revision_) + "}");
}

response store::transact(request const& asked)
{
    auto const body = json::parse(asked.body_, nullptr, false);
    std::scoped_lock const lock{mutex_};
    expire_locked();
    for (auto const& row : body.at("ExpectedRevision"))
    {
        auto const found = items_.find(row.at("Key").get<std::string>());
        auto const current =
            found == items_.end() ? 0 : found->second.revision_;
        if (row.at("Revision").get<std::uint64_t>() != current)
        {
            return answer_with(412, "{\"Items\":[]}");
        }
    }
    for (auto const& put : body.at("Puts"))
    {
        auto const id = put.value("Lease", std::uint64_t{0});
        if (id != 0 && !leases_.contains(id))
        {
            return answer_with(404, "{}");
        }
    }
    for (auto const& put : body.at("Puts"))
    {
        put_locked(put.at("Key").get<std::string>(),
                   decode(put.at("Value").get<std::string>()),
                   put.value("Lease", std::uint64_t{0}));
    }
    for (auto const& key : body.at("Remove"))
    {
        remove_locked(key.get<std::string>());
    }
    changed_.notify_all();
    return answer_with(200, "{\"Revision\":" + std::to_string(revision_) + "}");
}

response store::grant(request const& asked)
{
    auto const body = json::parse(asked.body_, nullptr, false);
    milliseconds const ttl{body.at("TtlMs").get<std::int64_t>()};
    std::scoped_lock const lock{mutex_};
    leases_[++last_lease_] = {ttl, steady::now() + ttl};
    return answer_with(200, "{\"Lease\":" + std::to_string(last_lease_) +
                                ",\"TtlMs\":" + std::to_string(ttl.count()) +
                                "}");
}

response store::keep(request const& asked)
{
    std::scoped_lock const lock{mutex_};
    expire_locked();
    auto const found = leases_.find(last_number(asked));
    if (found == leases_.end())
    {
        return answer_with(404, "{}");
    }
    found->second.ends_ = steady::now() + found->second.ttl_;
    return answer_with(
        200, "{\"TtlMs\":" + std::to_string(found->second.ttl_.count()) + "}");
}

response store::end_lease(request const& asked)
{
    std::scoped_lock const lock{mutex_};
    leases_.erase(last_number(asked));
    expire_locked();
    changed_.notify_all();
    return answer_with(200, "{}");
}

} // namespace tanagerlead::review
