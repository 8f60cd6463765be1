#include "review/standins-3/ledger.hpp"

#include "src/net/event_loop.hpp"

#include <algorithm>

namespace tanagerlead::review
{

namespace
{

char const* name_of(try_end end)
{
    switch (end)
    {
    case try_end::answered:
        return "answered";
    case try_end::closed:
        return "closed without a whole answer";
    case try_end::timed_out:
        return "gave up";
    }
    return "unknown";
}

} // namespace

record::record(std::string const& path)
    : file_{std::fopen(path.c_str(), "w")}, started_{net::now()}
{
}

record::~record()
{
    if (file_ != nullptr)
    {
        (void)std::fclose(file_);
    }
}

void record::write(std::string const& line)
{
    if (file_ != nullptr)
    {
        (void)std::fprintf(file_, "%9.3f %s\n",
                           base::seconds(net::now() - started_), line.c_str());
        (void)std::fflush(file_);
    }
}

void record::note(std::string const& line)
{
    std::lock_guard const guard{mutex_};
    write(line);
}

void record::on_sent(std::string const& id, std::string const& daemon)
{
    std::lock_guard const guard{mutex_};
    attempts_[id].is_sent_ = true;
    write("sent " + id + " to " + daemon);
}

void record::on_run(std::string const& id, std::string const& runner,
                    bool is_sound)
{
    std::lock_guard const guard{mutex_};
    auto& known = attempts_[id];
    known.is_run_by_sound_ = known.is_run_by_sound_ || is_sound;
    write("run " + id + " by " + runner + (is_sound ? "" : " (in trouble)"));
}

void record::on_end(std::string const& id, try_end end, int status)
{
    std::lock_guard const guard{mutex_};
    auto& known = attempts_[id];
    known.has_ended_ = true;
    known.end_ = end;
    known.status_ = status;
    write("ended " + id + ": " + name_of(end) +
          (end == try_end::answered ? " " + std::to_string(status) : ""));
}

std::vector<std::string> record::lost() const
{
    std::lock_guard const guard{mutex_};
    std::vector<std::string> out;
    for (auto const& [id, known] : attempts_)
    {
        if (known.has_ended_ && known.end_ == try_end::closed &&
            known.is_run_by_sound_)
        {
            out.push_back(id);
        }
    }
    return out;
}

std::size_t record::count(try_end end) const
{
    std::lock_guard const guard{mutex_};
    return static_cast<std::size_t>(std::count_if(
        attempts_.begin(), attempts_.end(),
        [end](auto const& each)
        { return each.second.has_ended_ && each.second.end_ == end; }));
}

std::size_t record::count_status(int status) const
{
    std::lock_guard const guard{mutex_};
    return static_cast<std::size_t>(
        std::count_if(attempts_.begin(), attempts_.end(),
                      [status](auto const& each)
                      {
                          return each.second.has_ended_ &&
                                 each.second.end_ == try_end::answered &&
                                 each.second.status_ == status;
                      }));
}

std::size_t record::sent() const
{
    std::lock_guard const guard{mutex_};
    return static_cast<std::size_t>(
        std::count_if(attempts_.begin(), attempts_.end(),
                      [](auto const& each) { return each.second.is_sent_; }));
}

} // namespace tanagerlead::review
