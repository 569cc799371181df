#include "file_system.hpp"

#include <algorithm>

namespace mulberryrudder::disk
{

namespace
{

constexpr char const* temporary_suffix = ".new";

} // namespace

result<void> replace_file(file_system& files, std::string const& name, std::string_view bytes)
{
    auto const temporary = name + temporary_suffix;
    BOOST_LEAF_AUTO(names, files.list());
    if (std::find(names.begin(), names.end(), temporary) != names.end())
        BOOST_LEAF_CHECK(files.remove(temporary));
    {
        BOOST_LEAF_AUTO(file, files.open(temporary));
        BOOST_LEAF_CHECK(file->append(bytes));
        BOOST_LEAF_CHECK(file->sync());
    }
    BOOST_LEAF_CHECK(files.rename(temporary, name));
    return files.sync_folder();
}

} // namespace mulberryrudder::disk
