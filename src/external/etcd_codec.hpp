#pragma once

#include "src/external/key_value.hpp"

#include <string>
#include <vector>

/// Bodies of the JSON gateway of etcd v3.
namespace tanagerlead::external::etcd
{

/// One line of a watch's stream.
struct watch_line
{
    /// The watch is in place; later changes will be told.
    bool created_ = false;
    /// The server ended the watch.
    bool cancelled_ = false;
    /// Deleted keys have revision 0.
    std::vector<key_value_entry> entries_;
};

/// `end` empty: the one key.
std::string encode_range(std::string const& key, std::string const& end);
std::string encode_commit(std::vector<key_value_write> const& writes);
std::string encode_watch(std::string const& key);

/// First key after all that begin with `prefix`.
std::string end_of_prefix(std::string prefix);

/// Errors: `corrupt`.
base::result<std::vector<key_value_entry>>
decode_range(std::string const& body);
base::result<commit_outcome> decode_commit(std::string const& body);
base::result<watch_line> decode_watch_line(std::string const& line);

} // namespace tanagerlead::external::etcd
