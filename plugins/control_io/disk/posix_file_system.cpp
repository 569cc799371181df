#include "file_system.hpp"

#include <boost/functional/hash.hpp>

#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace mulberryrudder::disk
{

namespace
{

constexpr mode_t folder_mode = 0700;
constexpr mode_t file_mode = 0600;
constexpr char const* lock_name = "lock";

/// Makes the LEAF error of a failed system call.
boost::leaf::error_id system_failure(std::string const& place)
{
    auto const cause = std::generic_category().message(errno);
    return boost::leaf::new_error(failure{.place = place, .expected = "success, not: " + cause});
}

class descriptor
{
public:
    explicit descriptor(int value) : value_(value) {}
    ~descriptor()
    {
        if (value_ >= 0)
            ::close(value_);
    }
    descriptor(descriptor&& other) noexcept : value_(other.value_) { other.value_ = -1; }
    descriptor(descriptor const&) = delete;
    descriptor& operator=(descriptor const&) = delete;
    descriptor& operator=(descriptor&&) = delete;

    int get() const { return value_; }
    bool is_open() const { return value_ >= 0; }

private:
    int value_;
};

/// Returns false with the cause in errno if not all bytes could be written.
bool write_all(int file, std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const n = ::write(file, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

class posix_file final : public output_file
{
public:
    posix_file(std::string path, descriptor file) : path_(std::move(path)), file_(std::move(file))
    {
    }

    result<void> append(std::string_view bytes) override
    {
        if (!write_all(file_.get(), bytes))
            return system_failure(path_);
        return {};
    }

    result<void> sync() override
    {
        if (::fsync(file_.get()) != 0)
            return system_failure(path_);
        return {};
    }

private:
    std::string path_;
    descriptor file_;
};

class posix_file_system final : public file_system
{
public:
    posix_file_system(std::string path, descriptor folder, descriptor lock)
        : path_(std::move(path)), folder_(std::move(folder)), lock_(std::move(lock))
    {
    }

    result<std::vector<std::string>> list() override
    {
        auto* const folder = ::opendir(path_.c_str());
        if (folder == nullptr)
            return system_failure(path_);
        std::vector<std::string> out;
        while (auto const* const it = ::readdir(folder))
            if (it->d_type != DT_DIR && std::string_view(it->d_name) != lock_name)
                out.emplace_back(it->d_name);
        ::closedir(folder);
        return out;
    }

    result<std::string> read(std::string const& name) override
    {
        descriptor const file(::openat(folder_.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
        struct stat about
        {
        };
        if (!file.is_open() || ::fstat(file.get(), &about) != 0)
            return system_failure(path_ + "/" + name);
        std::string out(static_cast<std::size_t>(about.st_size), '\0');
        std::size_t got = 0;
        while (got != out.size())
        {
            auto const n = ::read(file.get(), out.data() + got, out.size() - got);
            if (n < 0 && errno == EINTR)
                continue;
            if (n <= 0)
                return system_failure(path_ + "/" + name);
            got += static_cast<std::size_t>(n);
        }
        return out;
    }

    result<std::uint64_t> origin(std::string const& name) override
    {
        struct stat about
        {
        };
        if (::fstatat(folder_.get(), name.c_str(), &about, 0) != 0)
            return system_failure(path_ + "/" + name);
        // The time of change, unlike that of modification, cannot be set by a copier.
        auto const changed = std::pair(about.st_ctim.tv_sec, about.st_ctim.tv_nsec);
        return std::uint64_t{boost::hash_value(std::pair(about.st_ino, changed))};
    }

    result<std::unique_ptr<output_file>> open(std::string const& name) override
    {
        descriptor file(::openat(folder_.get(), name.c_str(),
                                 O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, file_mode));
        if (!file.is_open())
            return system_failure(path_ + "/" + name);
        return std::make_unique<posix_file>(path_ + "/" + name, std::move(file));
    }

    result<void> overwrite(std::string const& name, std::uint64_t offset,
                           std::string_view bytes) override
    {
        descriptor const file(::openat(folder_.get(), name.c_str(), O_WRONLY | O_CLOEXEC));
        // The size stays, so that the file system need not write its journal.
        if (!file.is_open() || ::lseek(file.get(), static_cast<off_t>(offset), SEEK_SET) < 0 ||
            !write_all(file.get(), bytes) || ::fdatasync(file.get()) != 0)
            return system_failure(path_ + "/" + name);
        return {};
    }

    result<void> sync(std::string const& name) override
    {
        descriptor const file(::openat(folder_.get(), name.c_str(), O_WRONLY | O_CLOEXEC));
        if (!file.is_open() || ::fsync(file.get()) != 0)
            return system_failure(path_ + "/" + name);
        return {};
    }

    result<void> truncate(std::string const& name, std::uint64_t size) override
    {
        descriptor const file(::openat(folder_.get(), name.c_str(), O_WRONLY | O_CLOEXEC));
        if (!file.is_open() || ::ftruncate(file.get(), static_cast<off_t>(size)) != 0 ||
            ::fsync(file.get()) != 0)
            return system_failure(path_ + "/" + name);
        return {};
    }

    result<void> rename(std::string const& from, std::string const& to) override
    {
        if (::renameat(folder_.get(), from.c_str(), folder_.get(), to.c_str()) != 0)
            return system_failure(path_ + "/" + to);
        return {};
    }

    result<void> remove(std::string const& name) override
    {
        if (::unlinkat(folder_.get(), name.c_str(), 0) != 0)
            return system_failure(path_ + "/" + name);
        return {};
    }

    result<void> sync_folder() override
    {
        if (::fsync(folder_.get()) != 0)
            return system_failure(path_);
        return {};
    }

private:
    std::string path_;
    descriptor folder_;
    descriptor lock_; ///< Held as long as the folder is in use.
};

} // namespace

result<std::unique_ptr<file_system>> open_folder(std::string const& path)
{
    if (::mkdir(path.c_str(), folder_mode) != 0 && errno != EEXIST)
        return system_failure(path);
    descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.is_open())
        return system_failure(path);
    descriptor lock(::openat(folder.get(), lock_name, O_WRONLY | O_CREAT | O_CLOEXEC, file_mode));
    if (!lock.is_open())
        return system_failure(path);
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
        return boost::leaf::new_error(
            failure{.place = path, .expected = "a data folder that no other process uses"});
    return std::make_unique<posix_file_system>(path, std::move(folder), std::move(lock));
}

} // namespace mulberryrudder::disk
