#include "block_file.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <map>
#include <sstream>

namespace mulberryrudder::entry
{

namespace
{

/// Collects blocks and gives the sites numbers.
class block_reader
{
public:
    explicit block_reader(std::string const& file) : file_(file) {}

    void line(std::string const& text, std::size_t number)
    {
        std::istringstream words(text.substr(0, text.find('#')));
        std::string prefix;
        std::string site;
        if (!(words >> prefix))
            return;
        client_block block;
        if (!parse_client_block(prefix, block))
            return refuse(number, "a block such as 203.0.113.0/24 without bits behind the prefix");
        std::string rest;
        if (!(words >> site) || words >> rest)
            return refuse(number, "one site behind the block");
        if (sites_.size() + 1 == no_site.value() && !sites_.contains(site))
            return refuse(number, "at most 65534 sites");
        blocks_.push_back({block, index_of(site)});
    }

    result<block_file> finish()
    {
        if (!failed_.empty())
            return boost::leaf::new_error(failed_);
        return block_file{std::move(names_), block_table(blocks_)};
    }

private:
    void refuse(std::size_t number, std::string expected)
    {
        failed_.push_back(
            {.place = file_ + ":" + std::to_string(number), .expected = std::move(expected)});
    }

    site_index index_of(std::string const& site)
    {
        auto const next = site_index(static_cast<std::uint16_t>(names_.size()));
        auto const [it, is_new] = sites_.emplace(site, next);
        if (is_new)
            names_.push_back(site);
        return it->second;
    }

    std::string const& file_;
    std::map<std::string, site_index> sites_;
    std::vector<std::string> names_;
    std::vector<block_site> blocks_;
    failures failed_;
};

result<block_file> load(std::string const& file)
{
    BOOST_LEAF_AUTO(text, kernel::read_file(file));
    return parse_block_file(text, file);
}

/// Reports a file's failures as those of the setting that names it.
void refuse_all(kernel::reading const& at, failures const& failed)
{
    for (auto const& it : failed)
        at.refuse("a file of blocks; " + it.place + ": " + it.expected);
}

} // namespace

result<block_file> parse_block_file(std::string_view text, std::string const& file)
{
    block_reader out(file);
    std::istringstream lines{std::string(text)};
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number)
        out.line(line, number);
    return out.finish();
}

void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                named_block_file& out)
{
    std::string file;
    kernel::read_value(from, at, within, file);
    if (file.empty())
        return;
    boost::leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(content, load(file));
            out.content = std::make_shared<block_file const>(std::move(content));
            return {};
        },
        [&](failures const& failed) { refuse_all(at, failed); },
        [&](failure const& failed) { refuse_all(at, {failed}); },
        [&] { at.refuse("a readable file of blocks"); });
}

} // namespace mulberryrudder::entry
