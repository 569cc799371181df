#include "memory_file_system.hpp"

#include <algorithm>

namespace mulberryrudder::disk::testing
{

namespace
{

boost::leaf::error_id injected()
{
    return boost::leaf::new_error(failure{.place = "test", .expected = "room on the disk"});
}

} // namespace

class memory_file final : public output_file
{
public:
    memory_file(memory_file_system& owner, std::string name) : owner_(owner), name_(std::move(name))
    {
    }

    result<void> append(std::string_view bytes) override
    {
        bool const works = owner_.step();
        auto const n = works ? bytes.size() : bytes.size() / 2;
        owner_.files_[name_].bytes += bytes.substr(0, n);
        if (!works)
            return injected();
        return {};
    }

    result<void> sync() override
    {
        if (!owner_.step())
            return injected();
        owner_.mark_synced(name_);
        return {};
    }

private:
    memory_file_system& owner_;
    std::string name_;
};

bool memory_file_system::step()
{
    ++operations_;
    if (failed_)
        ++after_failure_;
    failed_ = failed_ || (until_failure_ >= 0 && until_failure_-- == 0);
    return !failed_;
}

result<std::vector<std::string>> memory_file_system::list()
{
    std::vector<std::string> out;
    for (auto const& [name, it] : files_)
        out.push_back(name);
    return out;
}

result<std::string> memory_file_system::read(std::string const& name)
{
    return files_.at(name).bytes;
}

result<std::unique_ptr<output_file>> memory_file_system::open(std::string const& name)
{
    if (!step())
        return injected();
    files_[name];
    return std::make_unique<memory_file>(*this, name);
}

void memory_file_system::mark_synced(std::string const& name)
{
    auto& it = files_[name];
    it.synced = it.bytes.size();
    it.replaced.clear();
    if (auto const known = synced_names_.find(name); known != synced_names_.end())
        known->second = it;
}

result<void> memory_file_system::overwrite(std::string const& name, std::uint64_t offset,
                                           std::string_view bytes)
{
    if (!step())
        return injected();
    auto& it = files_.at(name);
    it.replaced = it.bytes.substr(offset, bytes.size());
    it.replaced_at = offset;
    it.bytes.replace(offset, bytes.size(), bytes);
    if (!step())
        return injected();
    mark_synced(name);
    return {};
}

result<void> memory_file_system::sync(std::string const& name)
{
    if (!step())
        return injected();
    mark_synced(name);
    return {};
}

result<void> memory_file_system::truncate(std::string const& name, std::uint64_t size)
{
    if (!step())
        return injected();
    auto& it = files_.at(name);
    it.bytes.resize(size);
    it.synced = size;
    return {};
}

result<void> memory_file_system::rename(std::string const& from, std::string const& to)
{
    if (!step())
        return injected();
    files_[to] = files_.at(from);
    files_.erase(from);
    return {};
}

result<void> memory_file_system::remove(std::string const& name)
{
    if (!step())
        return injected();
    files_.erase(name);
    return {};
}

result<void> memory_file_system::sync_folder()
{
    if (!step())
        return injected();
    synced_names_ = files_;
    return {};
}

void memory_file_system::crash(std::function<std::size_t(std::size_t)> const& kept)
{
    for (auto& [name, it] : synced_names_)
    {
        if (auto const newest = files_.find(name); newest != files_.end())
            it = newest->second;
        it.bytes.resize(it.synced + kept(it.bytes.size() - it.synced));
        it.synced = it.bytes.size();
        auto const n = kept(it.replaced.size());
        it.bytes.replace(it.replaced_at + n, it.replaced.size() - n, it.replaced, n);
        it.replaced.clear();
    }
    files_ = synced_names_;
    until_failure_ = -1;
    failed_ = false;
    after_failure_ = 0;
}

std::string memory_file_system::newest_segment() const
{
    std::string out;
    for (auto const& [name, it] : files_)
        if (name.starts_with("log-"))
            out = name;
    return out;
}

} // namespace mulberryrudder::disk::testing
