#pragma once

#include "src/base/error.hpp"
#include "src/config/document.hpp"

#include <string>
#include <vector>

namespace tanagerlead::config
{

/// A part of one section, small enough for one value of the key-value service.
struct page
{
    std::string section_;
    int number_ = 0;
    /// JSON object of the section's entries that fall on this page.
    std::string text_;
};

/// Mean size that pages are split for; the service takes up to a megabyte.
constexpr std::size_t page_bytes = std::size_t{16} << 10U;

/// How many pages a section of `bytes` has, given its present count. Always
/// a power of two, and changed only when the mean size is far off, so that an
/// edit rewrites one page and seldom all of them.
int page_count(std::size_t bytes, int present);

/// Splits every section; `present` gives the pages in use now, if any.
std::vector<page> split_into_pages(configuration const& from,
                                   std::vector<page> const& present);

/// Errors: `corrupt`, naming the first wrong field.
base::result<configuration> join_pages(std::vector<page> const& pages,
                                       base::config_version version);

} // namespace tanagerlead::config
