#!/usr/bin/env bash
# Writes the settings files and the release note of step 2 into a folder.
# Usage: settings.sh FOLDER
set -euo pipefail
cd "$1"
control='[{"id": 101, "peer": "127.0.0.1:27201"}, {"id": 102, "peer": "127.0.0.1:27202"},
          {"id": 103, "peer": "127.0.0.1:27203"}]'
operators='[{"id": 101, "listen": "127.0.0.1:27211"}, {"id": 102, "listen": "127.0.0.1:27212"},
            {"id": 103, "listen": "127.0.0.1:27213"}]'
for n in 1 2 3; do
  cat > control-$n.json <<END
{
  "instance": {"id": 10$n, "region": "home", "domain": "home-$n", "peer": "127.0.0.1:2720$n",
               "control": $control},
  "operators": {"listen": "127.0.0.1:2721$n", "control": $operators},
  "disk": {"folder": "disk-$n"}
}
END
done
for n in 1 2; do
  cat > entry-$n.json <<END
{
  "instance": {"id": $n, "region": "home", "domain": "home-$n", "peer": "127.0.0.1:2722$n",
               "caller": "127.0.0.1:2724$n", "control": $control}
}
END
  cat > target-$n.json <<END
{
  "fake_targets": {
    "entries": ["127.0.0.1:2724$n"],
    "groups": [{"name": "t$n", "first": "127.0.0.1:2725$n", "domain": "home-$n", "version": "v1",
                "routes": ["reports"]}]
  }
}
END
done
cat > note.json <<END
{
  "number": 1,
  "add": {
    "customers": {"office": {"rate": 100, "burst": 50, "home": "home",
                             "keys": ["sha256:$(printf made-up-key | sha256sum | cut -d' ' -f1)"]}},
    "routes": {"reports": {"version": "v1", "idempotent": true, "customers": ["office"]}}
  }
}
END
