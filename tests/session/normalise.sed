# Takes out of a session what differs from run to run: addresses, times, who leads, how far copies are.
s/127\.[0-9.]+:[0-9]+/ADDRESS/g
s/[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z/TIME/g
s/ +/ /g
s/^ADDRESS [0-9]+ leader [0-9]+ .*/REPLICA leader/
s/^ADDRESS [0-9]+ [a-z-]+ [0-9]+ .*/REPLICA other/
s/^[0-9] ADDRESS (yes|no) .*/VIEW votes \1/
