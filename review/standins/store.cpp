#include "store.hpp"

#include <unistd.h>

#include <sys/socket.h>

namespace review
{

using nlohmann::json;

namespace
{

/// As in the settings of a small deployment.
constexpr milliseconds heartbeat{1200};
constexpr int beats_to_lapse = 3;
constexpr std::size_t page_size = 500;
constexpr auto answer_time = 4ms;

} // namespace

store::store(std::string const& ip)
    : at_{ip, 0}, listener_{listen_at(at_)}, accepting_{[this]
                                                        {
                                                            accept_all();
                                                        }},
      expiring_{[this]
                {
                    expire_all();
                }}
{
}

store::~store()
{
    is_ended_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    changed_.notify_all();
    accepting_.join();
    expiring_.join();
}

void store::accept_all()
{
    while (auto made = accept_from(listener_))
    {
        // The process ends with its threads.
        std::thread{[this, held = std::shared_ptr<connection>{std::move(made)}]
                    {
                        serve(*held);
                    }}
            .detach();
    }
}

void store::serve(connection& with)
{
    message request;
    while (with.read_request(request, steady::now() + 120s) == read_end::ok)
    {
        std::this_thread::sleep_for(answer_time);
        auto const out = handle(request);
        if (out.status_ == 0)
        {
            return;
        }
        message head;
        head.first_line_ = "HTTP/1.1 " + std::to_string(out.status_) + " x";
        head.add("Content-Type", "application/json");
        head.add("Store-Era", "1");
        auto const body = out.body_.dump();
        auto const framing = "Content-Length: " + std::to_string(body.size());
        if (!with.send(head.head_text(framing) + body))
        {
            return;
        }
    }
}

store::answer store::handle(message const& request)
{
    auto const target = request.word(1);
    auto const path = target.substr(0, target.find('?'));
    if (path == "/v1/kv-key")
    {
        return read(target);
    }
    if (path == "/v1/kv-range")
    {
        return range(target);
    }
    if (path == "/v1/kv-watch")
    {
        return watch(target);
    }
    if (path == "/v1/kv-txn")
    {
        return transact(request.body_);
    }
    if (path == "/v1/kv-lease")
    {
        return grant(request.body_);
    }
    if (path.starts_with("/v1/kv-keep/"))
    {
        return renew(path);
    }
    if (path == "/runner/beat")
    {
        return beat(target, request.body_);
    }
    return {404, json::object()};
}

json store::to_json(std::string const& key, item const& held) const
{
    return {{"Key", key},
            {"Value", encode_base64(held.value_)},
            {"Revision", held.revision_},
            {"CreateRevision", held.created_},
            {"Lease", held.lease_},
            {"CurrentRev", revision_}};
}

store::answer store::read(std::string const& target)
{
    std::lock_guard const hold{lock_};
    auto const key = query_value(target, "Key");
    auto const found = items_.find(key);
    return found == items_.end() ? answer{404, json::object()}
                                 : answer{200, to_json(key, found->second)};
}

store::answer store::range(std::string const& target)
{
    std::lock_guard const hold{lock_};
    auto const prefix = query_value(target, "Prefix");
    auto const after = query_value(target, "After");
    auto found = json::array();
    bool has_more = false;
    for (auto const& [key, held] : items_)
    {
        if (!key.starts_with(prefix) || key <= after)
        {
            continue;
        }
        if (found.size() == page_size)
        {
            has_more = true;
            break;
        }
        found.push_back(to_json(key, held));
    }
    return {
        200,
        {{"Items", found}, {"HasMore", has_more}, {"CurrentRev", revision_}}};
}

store::answer store::watch(std::string const& target)
{
    std::unique_lock hold{lock_};
    auto const prefix = query_value(target, "Prefix");
    auto const after = std::stoull(query_value(target, "After"));
    auto const until =
        steady::now() + milliseconds{std::stoll(query_value(target, "WaitMs"))};
    auto events = json::array();
    while (true)
    {
        for (auto const& each : history_)
        {
            if (each.revision_ <= after || !each.key_.starts_with(prefix))
            {
                continue;
            }
            json out{{"Key", each.key_}, {"Revision", each.revision_}};
            if (each.is_removal_)
            {
                out["Deleted"] = true;
            }
            else
            {
                out["Value"] = encode_base64(each.value_);
            }
            events.push_back(std::move(out));
        }
        if (!events.empty() || is_ended_ ||
            changed_.wait_until(hold, until) == std::cv_status::timeout)
        {
            break;
        }
    }
    return {200, {{"events", events}, {"CurrentRev", revision_}}};
}

store::answer store::transact(std::string const& body)
{
    std::lock_guard const hold{lock_};
    auto const in = json::parse(body);
    for (auto const& row : in.at("ExpectedRevision"))
    {
        auto const key = row.at("Key").get<std::string>();
        auto const found = items_.find(key);
        auto const now = found == items_.end() ? 0 : found->second.revision_;
        if (now != row.at("Revision").get<std::uint64_t>())
        {
            auto items = json::array();
            if (found != items_.end())
            {
                items.push_back(to_json(key, found->second));
            }
            return {412, {{"Items", items}}};
        }
    }
    for (auto const& each : in.at("Puts"))
    {
        auto const lease = each.at("Lease").get<std::uint64_t>();
        if (lease != 0 && !leases_.contains(lease))
        {
            return {404, json::object()};
        }
    }
    for (auto const& each : in.at("Puts"))
    {
        write(each.at("Key").get<std::string>(),
              decode_base64(each.at("Value").get<std::string>()),
              each.at("Lease").get<std::uint64_t>());
    }
    for (auto const& key : in.at("Remove"))
    {
        remove(key.get<std::string>());
    }
    return {200, {{"Revision", revision_}}};
}

store::answer store::grant(std::string const& body)
{
    std::lock_guard const hold{lock_};
    milliseconds const length{json::parse(body).at("TtlMs").get<int>()};
    auto const id = next_lease_++;
    leases_[id] = {length, steady::now() + length};
    return {200, {{"Lease", id}, {"TtlMs", length.count()}}};
}

store::answer store::renew(std::string const& path)
{
    std::lock_guard const hold{lock_};
    auto const found = leases_.find(std::stoull(path.substr(12)));
    if (found == leases_.end())
    {
        return {404, json::object()};
    }
    found->second.second = steady::now() + found->second.first;
    return {200, json::object()};
}

// A runner that is cut off gets no answer.
store::answer store::beat(std::string const& target, std::string const& body)
{
    std::lock_guard const hold{lock_};
    auto const id = query_value(target, "Id");
    if (cut_.contains(id))
    {
        return {0, json::object()};
    }
    auto const key = "servers/" + id;
    lapses_[key] = steady::now() + beats_to_lapse * heartbeat;
    auto const found = items_.find(key);
    if (found == items_.end() || found->second.value_ != body)
    {
        write(key, body, 0);
    }
    return {200, json::object()};
}

void store::write(std::string const& key, std::string const& value,
                  std::uint64_t lease)
{
    auto& held = items_[key];
    held.value_ = value;
    held.revision_ = ++revision_;
    held.created_ = held.created_ == 0 ? revision_ : held.created_;
    held.lease_ = lease;
    history_.push_back({revision_, key, value, false});
    changed_.notify_all();
}

void store::remove(std::string const& key)
{
    if (items_.erase(key) > 0)
    {
        history_.push_back({++revision_, key, {}, true});
        changed_.notify_all();
    }
}

void store::expire_all()
{
    while (!is_ended_)
    {
        std::this_thread::sleep_for(20ms);
        std::lock_guard const hold{lock_};
        auto const now = steady::now();
        for (auto at = lapses_.begin(); at != lapses_.end();)
        {
            if (at->second > now)
            {
                ++at;
                continue;
            }
            remove(at->first);
            at = lapses_.erase(at);
        }
        std::set<std::uint64_t> ended;
        std::erase_if(leases_,
                      [&](auto const& lease)
                      {
                          auto const is_over = lease.second.second <= now;
                          if (is_over)
                          {
                              ended.insert(lease.first);
                          }
                          return is_over;
                      });
        std::vector<std::string> gone;
        for (auto const& [key, held] : items_)
        {
            if (ended.contains(held.lease_))
            {
                gone.push_back(key);
            }
        }
        for (auto const& key : gone)
        {
            remove(key);
        }
    }
}

void store::put(std::string const& key, std::string const& value)
{
    std::lock_guard const hold{lock_};
    write(key, value, 0);
}

void store::cut_runner(std::string const& id, bool is_cut)
{
    std::lock_guard const hold{lock_};
    if (is_cut)
    {
        cut_.insert(id);
    }
    else
    {
        cut_.erase(id);
    }
}

} // namespace review
