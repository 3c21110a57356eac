"""Days of control faults: troubles of the control side, paired as standard days don't pair them.

`catalogue` names the days, `site` reads the site file that the caller gives, `day_file` writes a day
for that site, and `playing` runs written days with the test bench and tells how they went.
"""
