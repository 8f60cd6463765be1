#pragma once

#include "src/base/error.hpp"
#include "src/base/ids.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::config
{

/// One immutable value that holds a page of a section.
struct section_reference
{
    /// For example "workspaces".
    std::string section_;
    int page_ = 0;
    /// In the key-value service.
    std::string key_;
    /// Of the value; the same content has the same digest in every version.
    std::string sha256_;
};

/// The small value that says what a version consists of.
struct head
{
    base::config_version version_{};
    /// The patch that led to this version, and its content.
    std::string patch_id_;
    std::string patch_sha256_;
    std::vector<section_reference> sections_;
};

std::string encode_head(head const& from);
/// Errors: `corrupt`.
base::result<head> decode_head(std::string_view text);

} // namespace tanagerlead::config
