#include "src/entry/report_codec.hpp"

#include <boost/interprocess/streams/bufferstream.hpp>
#include <cereal/archives/binary.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>
#include <limits>
#include <sstream>

namespace tanagerlead::entry
{

namespace
{

using routing::peer_report;
using output = cereal::BinaryOutputArchive;
using input = cereal::BinaryInputArchive;

/// Kinds of messages, in the upper three bytes of the first word.
enum class message_kind : std::uint32_t
{
    report = 0x544c52,
    stream_message = 0x544c53,
    stream_starts = 0x544c54,
};

/// The layout that is written. Daemons of build 99d1b10 read no other one.
constexpr std::uint32_t written_layout = 1;

std::uint32_t first_word(message_kind kind)
{
    return static_cast<std::uint32_t>(kind) << 8U | written_layout;
}

/// The layout of a message of this kind; 0 for a message of another kind.
std::uint32_t layout_of(std::uint32_t word, message_kind kind)
{
    return word >> 8U == static_cast<std::uint32_t>(kind) ? word & 0xffU : 0;
}

struct report_section
{
    std::uint16_t number_;
    void (peer_report::*save_)(output&);
    void (peer_report::*load_)(input&);
};

/// In layout 1 these follow the head in this order, without number and length.
constexpr report_section fixed_sections[] = {
    {1, &peer_report::serialize_leaving<output>,
     &peer_report::serialize_leaving<input>},
    {2, &peer_report::serialize_role<output>,
     &peer_report::serialize_role<input>},
    {3, &peer_report::serialize_registry_change<output>,
     &peer_report::serialize_registry_change<input>},
    {4, &peer_report::serialize_limits<output>,
     &peer_report::serialize_limits<input>},
    {5, &peer_report::serialize_part_evidence<output>,
     &peer_report::serialize_part_evidence<input>},
    {6, &peer_report::serialize_reach<output>,
     &peer_report::serialize_reach<input>},
    {7, &peer_report::serialize_brittle_targets<output>,
     &peer_report::serialize_brittle_targets<input>},
};

/// A section that is written only if it holds something.
struct optional_section : report_section
{
    bool (peer_report::*is_needed_)() const;
};

constexpr std::array optional_sections{
    optional_section{{9, &peer_report::serialize_observations<output>,
                      &peer_report::serialize_observations<input>},
                     &peer_report::has_observations},
    optional_section{{13, &peer_report::serialize_brittle_pools<output>,
                      &peer_report::serialize_brittle_pools<input>},
                     &peer_report::has_brittle_pools},
};

report_section const* find_section(std::uint16_t number)
{
    auto const has_number = [number](report_section const& s)
    {
        return s.number_ == number;
    };
    auto const* const fixed = std::find_if(
        std::begin(fixed_sections), std::end(fixed_sections), has_number);
    if (fixed != std::end(fixed_sections))
    {
        return fixed;
    }
    auto const optional = std::find_if(optional_sections.begin(),
                                       optional_sections.end(), has_number);
    return optional == optional_sections.end() ? nullptr : &*optional;
}

bool has_more(std::istream& in)
{
    return in.peek() != std::istream::traits_type::eof();
}

// A section is loaded into a copy, so that a damaged one changes nothing.
bool load_section(report_section const& section, input& archive,
                  peer_report& report)
{
    try
    {
        auto changed = report;
        (changed.*section.load_)(archive);
        report = std::move(changed);
        return true;
    }
    catch (cereal::Exception const&)
    {
        return false;
    }
}

void read_numbered_section(std::uint16_t number, std::string const& content,
                           peer_report& report)
{
    auto const* const section = find_section(number);
    if (section == nullptr)
    {
        return;
    }
    boost::interprocess::ibufferstream in{content.data(), content.size()};
    input archive{in};
    load_section(*section, archive, report);
}

/// Reads numbered sections up to the end of the datagram.
void read_numbered_sections(std::istream& in, input& archive,
                            peer_report& report)
{
    while (has_more(in))
    {
        std::uint16_t number = 0;
        std::string content;
        try
        {
            archive(number);
            base::serialize_text(archive, content);
        }
        catch (cereal::Exception const&)
        {
            return;
        }
        read_numbered_section(number, content, report);
    }
}

void write_numbered_section(optional_section const& section, output& archive,
                            peer_report& report)
{
    if (!(report.*section.is_needed_)())
    {
        return;
    }
    std::ostringstream out;
    {
        output content{out};
        (report.*section.save_)(content);
    }
    auto number = section.number_;
    auto text = std::move(out).str();
    archive(number);
    base::serialize_text(archive, text);
}

} // namespace

std::string write_report(peer_report& report)
{
    std::ostringstream out;
    {
        output archive{out};
        archive(first_word(message_kind::report), report);
        for (auto const& section : fixed_sections)
        {
            (report.*section.save_)(archive);
        }
        for (auto const& section : optional_sections)
        {
            write_numbered_section(section, archive, report);
        }
    }
    return std::move(out).str();
}

std::optional<peer_report> read_report(std::string_view datagram)
{
    boost::interprocess::ibufferstream in{datagram.data(), datagram.size()};
    input archive{in};
    peer_report report;
    std::uint32_t layout = 0;
    try
    {
        std::uint32_t word = 0;
        archive(word);
        layout = layout_of(word, message_kind::report);
        if (layout == 0)
        {
            return std::nullopt;
        }
        archive(report);
    }
    catch (cereal::Exception const&)
    {
        // The next report replaces it.
        return std::nullopt;
    }
    if (layout == 1)
    {
        for (auto const& section : fixed_sections)
        {
            if (!has_more(in) || !load_section(section, archive, report))
            {
                return report;
            }
        }
    }
    read_numbered_sections(in, archive, report);
    return report;
}

namespace
{

/// Reads the part of a message that older builds do not write. Without it, or
/// if it is damaged, the message is as an older build would have written it.
template <class Message>
void read_rest(std::istream& in, input& archive, Message& message,
               void (Message::*load)(input&))
{
    if (in.peek() == std::istream::traits_type::eof())
    {
        return;
    }
    auto const without_rest = message;
    try
    {
        (message.*load)(archive);
    }
    catch (cereal::Exception const&)
    {
        message = without_rest;
    }
}

} // namespace

std::string write_stream_message(routing::stream_message& message)
{
    std::ostringstream out;
    {
        output archive{out};
        archive(first_word(message_kind::stream_message), message);
        if (!message.denied_.empty())
        {
            message.serialize_denials(archive);
        }
    }
    return std::move(out).str();
}

std::optional<routing::stream_message>
read_stream_message(std::string_view datagram)
{
    boost::interprocess::ibufferstream in{datagram.data(), datagram.size()};
    try
    {
        input archive{in};
        std::uint32_t word = 0;
        archive(word);
        if (layout_of(word, message_kind::stream_message) == 0)
        {
            return std::nullopt;
        }
        routing::stream_message message;
        archive(message);
        read_rest(in, archive, message,
                  &routing::stream_message::serialize_denials<input>);
        return message;
    }
    catch (cereal::Exception const&)
    {
        return std::nullopt;
    }
}

std::string write_stream_starts(routing::store_era era,
                                routing::stream_start_list& list)
{
    std::ostringstream out;
    {
        output archive{out};
        archive(first_word(message_kind::stream_starts), era, list);
        list.serialize_writer(archive);
    }
    return std::move(out).str();
}

std::optional<routing::stream_start_list>
read_stream_starts(routing::store_era era, std::string_view item)
{
    boost::interprocess::ibufferstream in{item.data(), item.size()};
    try
    {
        input archive{in};
        std::uint32_t word = 0;
        routing::store_era written_in{};
        archive(word, written_in);
        if (layout_of(word, message_kind::stream_starts) == 0 ||
            written_in != era)
        {
            return std::nullopt;
        }
        routing::stream_start_list list;
        archive(list);
        read_rest(in, archive, list,
                  &routing::stream_start_list::serialize_writer<input>);
        return list.is_complete_ ? std::optional{list} : std::nullopt;
    }
    catch (cereal::Exception const&)
    {
        return std::nullopt;
    }
}

} // namespace tanagerlead::entry
