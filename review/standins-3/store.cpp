#include "review/standins-3/store.hpp"

#include "src/base/base64.hpp"

namespace tanagerlead::review
{

using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

constexpr base::duration check_interval = 20ms;
constexpr std::size_t page_items = 500;
constexpr std::size_t max_connections = 1000;

/// Query parameters arrive with `/` as it is and other bytes percent-encoded.
std::string decode(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out.push_back(static_cast<char>(std::stoi(
                std::string{text.substr(i + 1, 2)}, nullptr, hexadecimal)));
            i += 2;
            continue;
        }
        out.push_back(text[i]);
    }
    return out;
}

std::string parameter(std::string_view target, std::string const& name)
{
    auto rest = target.substr(std::min(target.size(), target.find('?')));
    while (!rest.empty())
    {
        rest.remove_prefix(1);
        auto const field = rest.substr(0, rest.find('&'));
        if (field.starts_with(name + "="))
        {
            return decode(field.substr(name.size() + 1));
        }
        rest.remove_prefix(field.size());
    }
    return {};
}

std::uint64_t number(std::string const& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::uint64_t last_number(std::string const& target)
{
    return number(target.substr(target.rfind('/') + 1));
}

} // namespace

store::store(net::asio::io_context& loop)
    : listener_{loop, max_connections,
                [this](connection_ptr const& from, net::http_request const& in)
                {
                    on_request(from, in);
                }},
      timer_{loop, [this]
             {
                 on_timer();
             }}
{
    listener_.listen({"127.0.0.1", 0}).value();
    timer_.set_after(check_interval);
}

void store::send(connection_ptr const& to, int status, json const& body)
{
    net::http_response response;
    response.status_ = status;
    response.headers_.add("Content-Type", "application/json");
    response.headers_.add("Store-Era", "1");
    response.body_ = body.dump();
    to->answer(response);
}

json store::shown(std::string const& key, item const& held)
{
    return {{"Key", key},
            {"Value", base::base64_encode(held.value_)},
            {"Revision", held.revision_},
            {"CreateRevision", held.created_},
            {"Lease", held.lease_}};
}

void store::on_request(connection_ptr const& from, net::http_request const& in)
{
    auto const& target = in.target_;
    auto const path = target.substr(0, target.find('?'));
    if (path == "/v1/kv-key")
    {
        answer_key(from, target);
    }
    else if (path == "/v1/kv-range")
    {
        answer_range(from, target);
    }
    else if (path == "/v1/kv-watch")
    {
        watches_.push_back({from, parameter(target, "Prefix"),
                            number(parameter(target, "After")),
                            net::now() + std::chrono::milliseconds{number(
                                             parameter(target, "WaitMs"))}});
        notify_watches();
    }
    else if (path == "/v1/kv-txn")
    {
        transact(from, in.body_);
    }
    else if (path == "/v1/kv-lease")
    {
        grant(from, in.body_);
    }
    else if (path.starts_with("/v1/kv-keep/"))
    {
        renew(from, last_number(path));
    }
    else if (path.starts_with("/v1/kv-lease-end/"))
    {
        end_lease(last_number(path));
        send(from, 200, json::object());
    }
    else
    {
        send(from, 404, json::object());
    }
}

void store::answer_key(connection_ptr const& to,
                       std::string const& target) const
{
    auto const found = items_.find(parameter(target, "Key"));
    if (found == items_.end())
    {
        send(to, 404, json::object());
        return;
    }
    auto body = shown(found->first, found->second);
    body["CurrentRev"] = revision_;
    send(to, 200, body);
}

void store::answer_range(connection_ptr const& to,
                         std::string const& target) const
{
    auto const prefix = parameter(target, "Prefix");
    auto const after = parameter(target, "After");
    auto found = json::array();
    bool has_more = false;
    for (auto const& [key, held] : items_)
    {
        if (!key.starts_with(prefix) || key <= after)
        {
            continue;
        }
        has_more = found.size() == page_items;
        if (has_more)
        {
            break;
        }
        found.push_back(shown(key, held));
    }
    send(to, 200,
         {{"Items", found}, {"HasMore", has_more}, {"CurrentRev", revision_}});
}

void store::transact(connection_ptr const& to, std::string const& body)
{
    auto const in = json::parse(body);
    auto failed = json::array();
    for (auto const& row : in.value("ExpectedRevision", json::array()))
    {
        auto const key = row.at("Key").get<std::string>();
        auto const held = items_.find(key);
        auto const revision = held == items_.end() ? 0 : held->second.revision_;
        if (revision != row.at("Revision").get<std::uint64_t>())
        {
            failed.push_back(held == items_.end()
                                 ? json{{"Key", key}, {"Revision", 0}}
                                 : shown(key, held->second));
        }
    }
    if (!failed.empty())
    {
        send(to, 412, {{"Items", failed}});
        return;
    }
    auto const puts = in.value("Puts", json::array());
    for (auto const& each : puts)
    {
        auto const id = each.value("Lease", std::uint64_t{0});
        if (id != 0 && !leases_.contains(id))
        {
            send(to, 404, json::object());
            return;
        }
    }
    for (auto const& each : puts)
    {
        put(each.at("Key").get<std::string>(),
            base::base64_decode(each.at("Value").get<std::string>())
                .value_or(""),
            each.value("Lease", std::uint64_t{0}));
    }
    for (auto const& key : in.value("Remove", json::array()))
    {
        remove(key.get<std::string>());
    }
    send(to, 200, {{"Revision", revision_}});
}

void store::grant(connection_ptr const& to, std::string const& body)
{
    auto const ms = json::parse(body).at("TtlMs").get<std::int64_t>();
    auto const id = next_lease_++;
    auto const time = std::chrono::milliseconds{ms};
    leases_[id] = {net::now() + time, time};
    send(to, 200, {{"Lease", id}, {"TtlMs", ms}});
}

void store::renew(connection_ptr const& to, std::uint64_t id)
{
    auto const held = leases_.find(id);
    if (held != leases_.end())
    {
        held->second.until_ = net::now() + held->second.time_;
    }
    send(to, held == leases_.end() ? 404 : 200, json::object());
}

void store::put(std::string const& key, std::string const& value,
                std::uint64_t lease)
{
    auto& held = items_[key];
    held.value_ = value;
    held.revision_ = ++revision_;
    held.created_ = held.created_ == 0 ? revision_ : held.created_;
    held.lease_ = lease;
    history_.push_back({revision_, key, shown(key, held)});
    notify_watches();
}

void store::remove(std::string const& key)
{
    if (items_.erase(key) > 0)
    {
        ++revision_;
        history_.push_back(
            {revision_,
             key,
             {{"Key", key}, {"Revision", revision_}, {"Deleted", true}}});
        notify_watches();
    }
}

void store::end_lease(std::uint64_t id)
{
    leases_.erase(id);
    std::vector<std::string> gone;
    for (auto const& [key, held] : items_)
    {
        if (held.lease_ == id)
        {
            gone.push_back(key);
        }
    }
    for (auto const& key : gone)
    {
        remove(key);
    }
}

void store::notify_watches()
{
    auto const now = net::now();
    for (auto each = watches_.begin(); each != watches_.end();)
    {
        auto found = json::array();
        for (auto const& change : history_)
        {
            if (change.revision_ > each->after_ &&
                change.key_.starts_with(each->prefix_))
            {
                found.push_back(change.event_);
            }
        }
        if (found.empty() && now < each->until_)
        {
            ++each;
            continue;
        }
        send(each->to_, 200, {{"events", found}, {"CurrentRev", revision_}});
        each = watches_.erase(each);
    }
}

void store::on_timer()
{
    auto const now = net::now();
    std::vector<std::uint64_t> ended;
    for (auto const& [id, held] : leases_)
    {
        if (held.until_ < now)
        {
            ended.push_back(id);
        }
    }
    for (auto const id : ended)
    {
        end_lease(id);
    }
    notify_watches();
    timer_.set_after(check_interval);
}

} // namespace tanagerlead::review
