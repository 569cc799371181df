#include "plugins/entry/lookup/block_file.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace mulberryrudder::entry
{

namespace
{

client_address address(std::string const& text)
{
    client_address out;
    CPPUNIT_ASSERT_MESSAGE(text, parse_client_address(text, out));
    return out;
}

client_block block(std::string const& text)
{
    client_block out;
    CPPUNIT_ASSERT_MESSAGE(text, parse_client_block(text, out));
    return out;
}

bool holds(client_block const& it, client_address const& client)
{
    for (std::size_t n = 0; n != it.prefix_bits; ++n)
        if (((it.first.bytes[n / 8] ^ client.bytes[n / 8]) >> (7 - n % 8) & 1U) != 0)
            return false;
    return true;
}

/// The naive version: looks at each block and keeps the longest that holds the client.
site_index scan(std::vector<block_site> const& blocks, client_address const& client)
{
    site_index out = no_site;
    int longest = -1;
    for (auto const& it : blocks)
    {
        if (it.block.prefix_bits < longest || !holds(it.block, client))
            continue;
        longest = it.block.prefix_bits;
        out = it.site;
    }
    return out;
}

/// Makes blocks that often nest, touch or repeat, in a small part of the addresses.
class block_maker
{
public:
    explicit block_maker(std::uint64_t seed) : random_(seed) {}

    block_site block_of_any_kind()
    {
        bool const ipv4 = random_() % 2 == 0;
        auto const bits =
            static_cast<std::uint8_t>(ipv4 ? 96 + 14 + random_() % 19 : 40 + random_() % 25);
        block_site out{.block = {.first = client(ipv4), .prefix_bits = bits},
                       .site = site_index(static_cast<std::uint16_t>(random_() % 5))};
        for (std::size_t n = bits; n != 128; ++n)
            out.block.first.bytes[n / 8] &= static_cast<std::uint8_t>(~(0x80U >> n % 8));
        return out;
    }

    client_address client() { return client(random_() % 2 == 0); }

private:
    client_address client(bool ipv4)
    {
        auto out = address(ipv4 ? "10.0.0.0" : "2001:db8::");
        out.bytes[ipv4 ? 13 : 5] = static_cast<std::uint8_t>(random_() % 4);
        for (std::size_t n = ipv4 ? 14 : 6; n != (ipv4 ? 16 : 9); ++n)
            out.bytes[n] = static_cast<std::uint8_t>(random_() % 16 * 17);
        return out;
    }

    std::mt19937_64 random_;
};

/// Returns the places of a file's failures, or "accepted".
std::string failures_of(std::string const& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_CHECK(parse_block_file(text, "b"));
            return std::string("accepted");
        },
        [](failures const& failed)
        {
            std::string out;
            for (auto const& it : failed)
                out += it.place + " ";
            return out;
        },
        [] { return std::string("another error"); });
}

class block_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(block_table_test);
    CPPUNIT_TEST(a_client_belongs_to_the_longest_block_that_holds_it);
    CPPUNIT_TEST(a_client_outside_of_all_blocks_has_no_site);
    CPPUNIT_TEST(the_ends_of_the_address_space_are_found);
    CPPUNIT_TEST(the_table_agrees_with_a_naive_scan);
    CPPUNIT_TEST(bits_behind_the_prefix_are_refused);
    CPPUNIT_TEST(a_files_failures_are_reported_with_their_lines);
    CPPUNIT_TEST(comments_and_empty_lines_are_skipped);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_client_belongs_to_the_longest_block_that_holds_it()
    {
        block_table const it({{block("10.0.0.0/8"), site_index(1)},
                              {block("10.1.0.0/16"), site_index(2)},
                              {block("10.1.1.0/24"), site_index(3)}});
        CPPUNIT_ASSERT(it.find(address("10.1.1.9")) == site_index(3));
        CPPUNIT_ASSERT(it.find(address("10.1.2.9")) == site_index(2));
        CPPUNIT_ASSERT(it.find(address("10.2.0.0")) == site_index(1));
    }

    void a_client_outside_of_all_blocks_has_no_site()
    {
        block_table const it({{block("10.0.0.0/8"), site_index(1)}});
        CPPUNIT_ASSERT(it.find(address("11.0.0.0")) == no_site);
        CPPUNIT_ASSERT(it.find(address("9.255.255.255")) == no_site);
        CPPUNIT_ASSERT(it.find(address("2001:db8::1")) == no_site);
        CPPUNIT_ASSERT(block_table().find(address("10.0.0.1")) == no_site);
    }

    void the_ends_of_the_address_space_are_found()
    {
        block_table const it({{block("0.0.0.0/32"), site_index(1)},
                              {block("255.255.255.255/32"), site_index(2)},
                              {block("ffff::/16"), site_index(3)}});
        CPPUNIT_ASSERT(it.find(address("0.0.0.0")) == site_index(1));
        CPPUNIT_ASSERT(it.find(address("255.255.255.255")) == site_index(2));
        CPPUNIT_ASSERT(it.find(address("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff")) ==
                       site_index(3));
    }

    void the_table_agrees_with_a_naive_scan()
    {
        for (std::uint64_t seed = 1; seed != 41; ++seed)
        {
            block_maker maker(seed);
            std::vector<block_site> blocks;
            for (int n = 0; n != 150; ++n)
                blocks.push_back(maker.block_of_any_kind());
            block_table const it(blocks);
            for (int n = 0; n != 1000; ++n)
            {
                auto const client = maker.client();
                CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                             scan(blocks, client).value(), it.find(client).value());
            }
        }
    }

    void bits_behind_the_prefix_are_refused()
    {
        client_block out;
        for (auto const* const text : {"10.0.0.1/24", "10.0.0.0/33", "10.0.0.0", "10.0.0.0/x",
                                       "2001:db8::/65", "x/8", "10.0.0.0/-1"})
            CPPUNIT_ASSERT_MESSAGE(text, !parse_client_block(text, out));
    }

    void a_files_failures_are_reported_with_their_lines()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("b:2 b:3 b:4 "),
                             failures_of("10.0.0.0/8 izmir\n10.0.0.1/8 izmir\n"
                                         "10.0.0.0/8\n10.0.0.0/8 izmir bursa\n"));
    }

    void comments_and_empty_lines_are_skipped()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"),
                             failures_of("# blocks\n\n10.0.0.0/8 izmir # west\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(block_table_test);

} // namespace

} // namespace mulberryrudder::entry
