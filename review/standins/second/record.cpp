#include "record.hpp"

namespace tanagerlead::review
{

record::record(std::string const& path) : out_{path}
{
}

std::int64_t record::now() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - start_)
        .count();
}

void record::add(std::string const& line)
{
    auto const at = now();
    std::scoped_lock const lock{mutex_};
    out_ << at << " ms " << line << std::endl;
}

} // namespace tanagerlead::review
