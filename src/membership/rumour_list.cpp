#include "src/membership/rumour_list.hpp"

#include <algorithm>

namespace tanagerlead::membership
{

void rumour_list::add(member const& news)
{
    drop(news.daemon_);
    rumours_.push_back({news, 0});
}

void rumour_list::drop(base::daemon_id const& daemon)
{
    std::erase_if(rumours_, [&daemon](rumour const& old)
                  { return old.member_.daemon_ == daemon; });
}

std::vector<member> rumour_list::pick(std::size_t most, int most_sends)
{
    auto const fewer_sends = [](rumour const& a, rumour const& b)
    {
        return a.sent_ < b.sent_;
    };
    std::stable_sort(rumours_.begin(), rumours_.end(), fewer_sends);
    std::vector<member> picked;
    auto const count = std::min(rumours_.size(), most);
    for (std::size_t i = 0; i < count; ++i)
    {
        picked.push_back(rumours_[i].member_);
        ++rumours_[i].sent_;
    }
    std::erase_if(rumours_, [most_sends](rumour const& each)
                  { return each.sent_ >= most_sends; });
    return picked;
}

} // namespace tanagerlead::membership
