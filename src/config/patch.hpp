#pragma once

#include "src/base/error.hpp"
#include "src/config/document.hpp"

#include <string>
#include <vector>

namespace tanagerlead::config
{

enum class patch_kind
{
    /// RFC 7396.
    merge,
    /// RFC 6902.
    json,
};

/// An operators' change of one version of the document.
struct patch
{
    patch_kind kind_ = patch_kind::merge;
    /// JSON.
    std::string text_;
};

/// The patched document, read and checked. A patch that cannot be applied
/// has its errors under "/patch" and the pointer within the patch.
checked_configuration apply_patch(configuration const& to, patch const& with,
                                  base::config_version version);

/// One difference between two versions.
struct field_change
{
    /// "add", "remove" or "replace".
    std::string operation_;
    /// JSON pointer.
    std::string pointer_;
    /// JSON; empty when there was none or is none any more.
    std::string before_;
    std::string after_;
};

/// What turns `before` into `after`; a list that differs is one change.
std::vector<field_change> list_changes(configuration const& before,
                                       configuration const& after);

} // namespace tanagerlead::config
