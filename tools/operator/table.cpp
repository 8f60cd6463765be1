#include "tools/operator/table.hpp"

#include <algorithm>
#include <ostream>

namespace tanagerlead::operator_tool
{

namespace
{
constexpr std::size_t gap = 2;
} // namespace

void table::print(std::ostream& out) const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (auto const& row : rows_)
    {
        for (std::size_t i = 0; i < widths.size() && i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (auto const& row : rows_)
    {
        std::string line;
        for (std::size_t i = 0; i < widths.size() && i < row.size(); ++i)
        {
            line += row[i] + std::string(widths[i] - row[i].size() + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

} // namespace tanagerlead::operator_tool
