#include "src/config/digest.hpp"
#include "src/config/document.hpp"
#include "src/config/page.hpp"
#include "src/config/peer_copy.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

/// Cost of the configuration by the number of workspaces: size, time to read
/// and check it, memory of the copy in force, bytes that a peer sends after
/// one edit. Prints a table.
namespace
{

using namespace tanagerlead;
using nlohmann::json;

constexpr int pools = 33;
constexpr int targets = 2100;
constexpr int data_centres = 20;
// Target addresses are made up; nothing is connected to.
constexpr int ports_per_host = 1000;

json make_document(int workspaces)
{
    json made;
    for (int i = 0; i < 3; ++i)
    {
        made["tiers"]["tier" + std::to_string(i)] = {
            {"tier", i}, {"longest_wait_ms", 30000}};
    }
    for (int i = 0; i < pools; ++i)
    {
        made["pools"]["model" + std::to_string(i)] = {{"kind", "model"}};
    }
    for (int i = 0; i < targets; ++i)
    {
        made["targets"]["runner" + std::to_string(i)] = {
            {"pools", {"model" + std::to_string(i % pools)}},
            {"address", "10.0." + std::to_string(i / ports_per_host) +
                            ".1:" + std::to_string(1 + i % ports_per_host)},
            {"data_centre", "dc" + std::to_string(i % data_centres)},
            {"generation", 1 + i % 3},
            {"slots", 8},
            {"checks_fencing", false},
            {"draining", false}};
    }
    for (int i = 0; i < workspaces; ++i)
    {
        auto const name = "workspace" + std::to_string(i);
        made["workspaces"][name] = {
            {"tier", i % 3},
            {"key_hashes", {config::sha256_hex(name)}},
            {"pools",
             {"model" + std::to_string(i % pools),
              "model" + std::to_string((i + 1) % pools)}},
            {"weight", 1},
            {"most_waiting", 1000}};
    }
    return made;
}

double resident_megabytes()
{
    std::ifstream statm{"/proc/self/statm"};
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    constexpr double page = 4096;
    return resident * page / 1e6;
}

template <class Work>
double milliseconds_of(Work const& work)
{
    auto const start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

config::head make_head(base::config_version version,
                       std::vector<config::page> const& pages)
{
    config::head made;
    made.version_ = version;
    made.patch_id_ = "bench";
    for (auto const& each : pages)
    {
        auto const digest = config::sha256_hex(each.text_);
        made.sections_.push_back(
            {each.section_, each.number_, "key/" + digest, digest});
    }
    return made;
}

config::stored_configuration store(config::configuration const& from,
                                   std::vector<config::page> const& present)
{
    config::stored_configuration made;
    made.pages_ = config::split_into_pages(from, present);
    made.head_ = make_head(from.version_, made.pages_);
    made.configuration_ = std::make_shared<config::configuration const>(from);
    return made;
}

void measure(int workspaces)
{
    auto const before = resident_megabytes();
    auto const text = make_document(workspaces).dump();
    config::checked_configuration checked;
    auto const parse_ms = milliseconds_of(
        [&] {
            checked =
                config::parse_configuration(text, base::config_version{1});
        });
    if (!checked.ok())
    {
        std::printf("%s\n", config::to_lines(checked.errors_).c_str());
        return;
    }
    auto const first = store(checked.configuration_, {});
    auto const after = resident_megabytes();

    auto edited = checked.configuration_;
    edited.version_ = base::config_version{2};
    edited.workspaces_.front().weight_ = 2;
    auto const second = store(edited, first.pages_);
    auto const request = config::encode_copy_request(&first);
    auto const answer = config::answer_copy_request(request, second).value();
    auto const apply_ms =
        milliseconds_of([&] { config::decode_copy(answer, &first).value(); });
    std::printf("| %d | %.2f | %zu | %.0f | %.0f | %.1f | %.1f |\n", workspaces,
                static_cast<double>(text.size()) / 1e6, first.pages_.size(),
                parse_ms, apply_ms,
                static_cast<double>(request.size() + answer.size()) / 1e3,
                after - before);
}

} // namespace

/// With a count of workspaces: one row, whose memory is that of a fresh
/// process. Without: all rows.
int main(int argc, char** argv)
{
    if (argc > 1)
    {
        measure(std::atoi(argv[1]));
        return 0;
    }
    std::printf("| workspaces | MB of JSON | pages | read and check, ms | "
                "apply a peer's copy, ms | KB copied after one edit | MB "
                "resident |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for (int const workspaces : {100, 1000, 3000, 6000, 12000})
    {
        measure(workspaces);
    }
    return 0;
}
