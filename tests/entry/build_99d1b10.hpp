#pragma once

#include "src/routing/peer_report.hpp"
#include "src/routing/stream_origin.hpp"

#include <boost/interprocess/streams/bufferstream.hpp>
#include <cereal/archives/binary.hpp>

#include <optional>
#include <string>

/// What daemons of build 99d1b10 send and read.
namespace tanagerlead::test::build_99d1b10
{

/// A report and a stream message as that build wrote them, in hexadecimal.
inline constexpr char const* report_bytes =
    "01524c5488776655443322110700000001d4c3b2a1350000000000000002000b00000003"
    "000c000000060001001500000001040001001f00000040e20100000000000100edfe0000"
    "0000000029000000fa0002001900010a1100020a01003300000000000000019600010002"
    "00000000000000840300000000000001003d000000000000007c1500001e000100470000"
    "000000000048000000490000004a000000019001000001004b000000000000004c000000"
    "f40100000100510000000101005b00000000000000701700002800";
inline constexpr char const* stream_message_bytes =
    "01534c54010065000000000000006600000001006700000000000000";

inline std::string bytes_of(std::string_view hexadecimal)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < hexadecimal.size(); i += 2)
    {
        out.push_back(static_cast<char>(
            std::stoi(std::string{hexadecimal.substr(i, 2)}, nullptr, 16)));
    }
    return out;
}

template <class Item>
void read_list(cereal::BinaryInputArchive& archive, std::vector<Item>& items,
               std::size_t most)
{
    std::uint16_t count = 0;
    archive(count);
    if (count > most)
    {
        throw cereal::Exception{"list too long"};
    }
    items.resize(count);
    for (auto& item : items)
    {
        archive(item);
    }
}

/// Reads a report as that build does, which drops it whole if any part that it
/// reads is not as it expects.
inline std::optional<routing::peer_report> read_report(std::string_view bytes)
{
    boost::interprocess::ibufferstream in{bytes.data(), bytes.size()};
    auto const has_more = [&in]
    {
        return in.peek() != std::istream::traits_type::eof();
    };
    routing::peer_report r;
    try
    {
        cereal::BinaryInputArchive archive{in};
        std::uint32_t format = 0;
        archive(format);
        if (format != 0x544c5201)
        {
            return std::nullopt;
        }
        archive(r.incarnation_, r.sequence_number_, r.state_, r.data_centre_,
                r.config_version_);
        read_list(archive, r.in_flight_, 100);
        read_list(archive, r.waiting_, 24);
        read_list(archive, r.spent_, 48);
        read_list(archive, r.crashes_, 8);
        read_list(archive, r.known_peers_, 16);
        if (has_more())
        {
            read_list(archive, r.leaving_targets_, 16);
        }
        if (has_more())
        {
            archive(r.role_, r.interval_ms_);
            r.role_ = std::min(r.role_, routing::daemon_role::standby);
        }
        if (has_more())
        {
            read_list(archive, r.registry_changes_, 1);
        }
        if (has_more())
        {
            read_list(archive, r.limits_, 16);
        }
        if (has_more())
        {
            read_list(archive, r.part_crashes_, 24);
            read_list(archive, r.part_proofs_, 16);
        }
        if (has_more())
        {
            read_list(archive, r.unreachable_pools_, 16);
            archive(r.is_cut_off_);
        }
        if (has_more())
        {
            read_list(archive, r.brittle_targets_, 16);
        }
        return r;
    }
    catch (cereal::Exception const&)
    {
        return std::nullopt;
    }
}

/// Writes a report as that build does.
inline std::string write_report(routing::peer_report report)
{
    std::ostringstream out;
    {
        cereal::BinaryOutputArchive archive{out};
        std::uint32_t const format = 0x544c5201;
        archive(format, report);
        report.serialize_leaving(archive);
        report.serialize_role(archive);
        report.serialize_registry_change(archive);
        report.serialize_limits(archive);
        report.serialize_part_evidence(archive);
        report.serialize_reach(archive);
        report.serialize_brittle_targets(archive);
    }
    return std::move(out).str();
}

} // namespace tanagerlead::test::build_99d1b10
