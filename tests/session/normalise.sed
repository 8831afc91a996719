# Replaces the parts of a session that differ between runs: addresses, times, the leader, replication progress.
s/127\.[0-9.]+:[0-9]+/ADDRESS/g
s/[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z/TIME/g
s/ +/ /g
s/^ADDRESS [0-9]+ leader [0-9]+ .*/REPLICA leader/
s/^ADDRESS [0-9]+ [a-z-]+ [0-9]+ .*/REPLICA other/
s/^[0-9] ADDRESS (yes|no) .*/MEMBER votes \1/
