#include "tests/process/fleet.hpp"

#include "src/config/digest.hpp"
#include "src/request/sse.hpp"
#include "tests/fakes/answer_text.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace tanagerlead::process
{

namespace
{

using nlohmann::json;

constexpr char const* operator_key = "operator";
constexpr char const* data_centres[] = {"brest", "quimper", "lorient"};
constexpr std::size_t most_event_bytes = std::size_t{1} << 20U;
constexpr auto longest_wait = std::chrono::seconds{60};
constexpr auto look_again = std::chrono::milliseconds{20};
constexpr auto answer_timeout = std::chrono::seconds{60};

std::string data_centre(int number)
{
    return data_centres[number % 3];
}

std::string name(char const* kind, int number)
{
    return kind + std::to_string(number);
}

httplib::Client client(base::address const& to)
{
    httplib::Client made{to.ip_, to.port_};
    made.set_read_timeout(answer_timeout);
    made.set_keep_alive(false);
    return made;
}

httplib::Headers bearer(std::string const& key)
{
    return {{"Authorization", "Bearer " + key}};
}

json read_log(child_process const& fake)
{
    auto const got = client(fake.control()).Get("/fake/log");
    auto log = got ? json::parse(got->body, nullptr, false) : json{};
    return log.is_object() ? log : json::object();
}

void count_requests(child_process const& fake, std::map<std::string, int>& to)
{
    auto const log = read_log(fake);
    auto const requests = log.value("requests", json::array());
    for (auto const& item : requests)
    {
        to[item["id"].get<std::string>()] += item["count"].get<int>();
    }
}

json target(base::address const& address, char const* pool, int number,
            int slots)
{
    return {{"pools", {pool}},
            {"address", address.str()},
            {"data_centre", data_centre(number)},
            {"generation", 1},
            {"slots", slots},
            {"checks_fencing", false},
            {"draining", false}};
}

json workspace(std::string const& key, int tier)
{
    return {{"tier", tier},
            {"key_hashes", {config::sha256_hex(key)}},
            {"pools", {"report", "till"}},
            {"weight", 1},
            {"most_waiting", 1000}};
}

void read_stream(std::string const& body, answer& got)
{
    request::sse_parser parser{most_event_bytes};
    std::vector<request::sse_event> events;
    parser.feed(body, events);
    for (auto const& event : events)
    {
        if (event.name_ == "outcome")
        {
            got.ended_ = true;
            got.outcome_ = json::parse(event.data_)["outcome"];
        }
        else if (event.data_ != "[DONE]")
        {
            auto const chunk = json::parse(event.data_, nullptr, false);
            if (chunk.contains("choices") && !chunk["choices"].empty())
            {
                got.text_ += chunk["choices"][0].value("text", "");
            }
        }
    }
}

answer read_answer(httplib::Result const& result)
{
    answer got;
    if (!result)
    {
        return got;
    }
    got.status_ = result->status;
    got.outcome_ = result->get_header_value("X-Tanagerlead-Outcome");
    got.cause_ = result->get_header_value("X-Tanagerlead-Cause");
    got.request_ = result->get_header_value("X-Tanagerlead-Request");
    got.body_ = result->body;
    if (result->get_header_value("Content-Type").find("event-stream") !=
        std::string::npos)
    {
        read_stream(result->body, got);
        return got;
    }
    got.ended_ = true;
    auto const whole = json::parse(result->body, nullptr, false);
    if (whole.is_object() && whole.contains("choices"))
    {
        got.text_ = whole["choices"][0].value("text", "");
    }
    return got;
}

} // namespace

bool wait_until(std::function<bool()> const& holds)
{
    auto const end = std::chrono::steady_clock::now() + longest_wait;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(look_again);
    }
    return true;
}

fleet::fleet(fleet_settings settings) : settings_{std::move(settings)}
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "fleet.XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
}

fleet::~fleet()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

bool fleet::start()
{
    if (!start_fakes())
    {
        return false;
    }
    for (int i = 0; i < settings_.daemons_; ++i)
    {
        if (!start_daemon(i))
        {
            return false;
        }
    }
    auto const written = patch(0, 0, "first", configuration());
    for (int i = 0; i < settings_.daemons_; ++i)
    {
        if (!wait_until_ready(i))
        {
            return false;
        }
    }
    return written.status_ == 200;
}

bool fleet::start_fakes()
{
    key_value_.emplace(FAKE_KEY_VALUE, std::vector<std::string>{});
    host_list_.emplace(FAKE_HOST_LIST, std::vector<std::string>{});
    for (int i = 0; i < settings_.engines_; ++i)
    {
        if (!start_engine())
        {
            return false;
        }
    }
    for (int i = 0; i < settings_.services_; ++i)
    {
        services_.emplace_back(std::in_place, FAKE_SERVICE,
                               std::vector<std::string>{});
        if (!services_.back()->is_ready())
        {
            return false;
        }
    }
    return key_value_->is_ready() && host_list_->is_ready();
}

bool fleet::start_engine()
{
    auto flags = settings_.engine_flags_;
    flags.push_back("--slots=" + std::to_string(settings_.slots_));
    engines_.emplace_back(std::in_place, FAKE_ENGINE, flags);
    if (!settings_.relayed_ || !engines_.back()->is_ready())
    {
        return engines_.back()->is_ready();
    }
    std::vector<std::string> const far{"--far=" +
                                       engines_.back()->http().str()};
    relays_.emplace_back(std::in_place, FAKE_RELAY, far);
    return relays_.back()->is_ready();
}

base::address const& fleet::engine_address(int number) const
{
    return settings_.relayed_ ? relays_.at(number)->http()
                              : engines_.at(number)->http();
}

bool fleet::start_daemon(int number)
{
    while (daemons_.size() <= static_cast<std::size_t>(number))
    {
        daemons_.emplace_back();
    }
    daemons_[number].reset();
    daemons_[number].emplace(
        TANAGERLEADD,
        std::vector<std::string>{"--settings=" + settings_file(number)});
    return daemons_[number]->is_ready();
}

answer fleet::ask(int daemon, question const& asked) const
{
    json const body{{"model", "report"},
                    {"prompt", asked.prompt_},
                    {"max_tokens", asked.output_tokens_},
                    {"tanagerlead_fake_output_tokens", asked.output_tokens_},
                    {"stream", asked.stream_}};
    return read_answer(client(daemons_.at(daemon)->http())
                           .Post("/v1/completions", bearer(asked.key_),
                                 body.dump(), "application/json"));
}

answer fleet::post(int daemon, posting const& posted) const
{
    auto headers = bearer(posted.key_);
    headers.emplace("Idempotency-Key", posted.idempotency_key_);
    headers.emplace("X-Non-Idempotent", "true");
    return read_answer(client(daemons_.at(daemon)->http())
                           .Post("/v1/services/till/deposit", headers,
                                 posted.body_, "application/json"));
}

answer fleet::operate(int daemon, std::string const& method,
                      std::string const& path, std::string const& body) const
{
    auto to = client(daemons_.at(daemon)->http());
    auto const whole = "/operator/v1/" + path;
    if (method == "GET")
    {
        return read_answer(to.Get(whole, bearer(operator_key)));
    }
    return read_answer(
        to.Post(whole, bearer(operator_key), body, "application/json"));
}

answer fleet::patch(int daemon, int base_version, std::string const& id,
                    std::string const& merge) const
{
    json const body{{"base_version", base_version},
                    {"patch_id", id},
                    {"kind", "merge"},
                    {"patch", json::parse(merge)}};
    return operate(daemon, "POST", "config/patch", body.dump());
}

void fleet::set_faults(child_process const& fake, std::string const& faults)
{
    client(fake.control()).Post("/fake/faults", faults, "application/json");
}

void fleet::order_relays(std::string const& order) const
{
    for (auto const& each : relays_)
    {
        client(each->control()).Post("/fake/relay", order, "application/json");
    }
}

void fleet::list_engine(int number, char const* state) const
{
    json const labels{{"host", name("e", number)},
                      {"data_centre", data_centre(number)},
                      {"state", state}};
    json listed = json::array();
    listed.push_back(
        {{"targets", {engine_address(number).str()}}, {"labels", labels}});
    client(host_list_->http())
        .Post("/fake/hosts", json{{"hosts", listed}}.dump(),
              "application/json");
}

std::map<std::string, int> fleet::dispatches() const
{
    std::map<std::string, int> counts;
    for (auto const& engine : engines_)
    {
        count_requests(*engine, counts);
    }
    for (auto const& service : services_)
    {
        count_requests(*service, counts);
    }
    return counts;
}

std::map<std::string, int> fleet::dispatches_to(int engine) const
{
    std::map<std::string, int> counts;
    count_requests(*engines_.at(engine), counts);
    return counts;
}

std::map<std::string, int> fleet::runs_by_key() const
{
    std::map<std::string, int> counts;
    for (auto const& service : services_)
    {
        auto const log = read_log(*service);
        auto const runs = log.value("idempotency_keys", json::array());
        for (auto const& item : runs)
        {
            counts[item["key"].get<std::string>()] += item["count"].get<int>();
        }
    }
    return counts;
}

bool fleet::wait_for_dispatches(std::size_t count) const
{
    return wait_until([&] { return dispatches().size() >= count; });
}

bool fleet::wait_until_ready(int daemon) const
{
    return wait_until(
        [&]
        {
            auto const got = client(daemons_.at(daemon)->http()).Get("/readyz");
            return got && got->status == 200;
        });
}

bool fleet::wait_for_version(int daemon, int version) const
{
    return wait_until([&] { return this->version(daemon) == version; });
}

int fleet::version(int daemon) const
{
    auto const got = operate(daemon, "GET", "config", {});
    auto const body = json::parse(got.body_, nullptr, false);
    return body.is_object() ? body.value("version", 0) : 0;
}

std::string fleet::expected_text(question const& asked)
{
    return fakes::answer_text(fakes::read_prompt(asked.prompt_).hash_,
                              asked.output_tokens_);
}

std::string fleet::configuration() const
{
    json made;
    made["tiers"]["gold"] = {{"tier", 0}, {"longest_wait_ms", 30000}};
    made["tiers"]["silver"] = {{"tier", 1}, {"longest_wait_ms", 30000}};
    made["tiers"]["bronze"] = {{"tier", 2}, {"longest_wait_ms", 30000}};
    made["workspaces"]["gold"] = workspace("gold", 0);
    made["workspaces"]["silver"] = workspace("silver", 1);
    made["workspaces"]["bronze"] = workspace("bronze", 2);
    made["pools"]["report"] = {{"kind", "model"}};
    made["pools"]["till"] = {{"kind", "service"}};
    for (int i = 0; i < settings_.engines_; ++i)
    {
        made["targets"][name("engine", i)] =
            target(engine_address(i), "report", i, settings_.slots_);
    }
    for (int i = 0; i < settings_.services_; ++i)
    {
        made["targets"][name("service", i)] =
            target(services_[i]->http(), "till", i, settings_.slots_);
    }
    made["groups"]["brittany"] = {
        {"data_centres", {"brest", "quimper", "lorient"}}};
    return made.dump();
}

std::string fleet::settings_file(int number) const
{
    json seeds = json::array();
    for (auto const& other : daemons_)
    {
        if (other && other->is_ready())
        {
            seeds.push_back(other->peer().str());
        }
    }
    json const made{{"daemon", name("d", number)},
                    {"host", name("h", number)},
                    {"data_centre", data_centre(number)},
                    {"http", "127.0.0.1:0"},
                    {"peer", "127.0.0.1:0"},
                    {"key_value", {key_value_->http().str()}},
                    {"host_list", {host_list_->http().str()}},
                    {"seeds", seeds},
                    {"policy", settings_.policy_},
                    {"operator_key_hash", config::sha256_hex(operator_key)},
                    {"peer_secret", "process tests"}};
    auto path = folder_ + "/" + name("d", number) + ".json";
    std::ofstream{path} << made.dump();
    return path;
}

} // namespace tanagerlead::process
