#pragma once

#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlead::operator_tool
{

/// Rows of text under headings, each column as wide as its widest cell.
class table
{
public:
    explicit table(std::vector<std::string> headings)
    {
        add(std::move(headings));
    }

    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    void print(std::ostream& out) const;

private:
    /// The first row is that of the headings.
    std::vector<std::vector<std::string>> rows_;
};

} // namespace tanagerlead::operator_tool
