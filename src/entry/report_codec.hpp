#pragma once

#include "src/routing/peer_report.hpp"
#include "src/routing/store_revision.hpp"
#include "src/routing/stream_origin.hpp"
#include "src/routing/stream_starts.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace tanagerlead::entry
{

/// Encodes the datagrams between daemons so that builds of different age
/// understand each other.
///
/// A datagram starts with a word: three bytes name the kind of message, the
/// last one the layout. In layout 1 the head of the message and a fixed list of
/// sections follow, then sections that each start with a number and a length,
/// two bytes each. In layout 2 and later ones all sections after the head are
/// of the second form. A reader passes over sections that it does not know,
/// keeps the start of a list that is longer than it expects, and keeps what
/// comes before a damaged section. Numbers are never used for anything else,
/// and the content of a section only grows at its end.
std::string write_report(routing::peer_report& report);
/// Nothing if the datagram is no report or its head is damaged.
std::optional<routing::peer_report> read_report(std::string_view datagram);

std::string write_stream_message(routing::stream_message& message);
/// Nothing if the datagram is no stream message or is damaged.
std::optional<routing::stream_message>
read_stream_message(std::string_view datagram);

/// Encodes what a daemon keeps in the store about the starts of its streams.
/// `era`: the last one of the store of which no item is missing.
std::string write_stream_starts(routing::store_era era,
                                routing::stream_start_list& list);
/// Nothing if the item is damaged or not complete, or names another era.
std::optional<routing::stream_start_list>
read_stream_starts(routing::store_era era, std::string_view item);

} // namespace tanagerlead::entry
