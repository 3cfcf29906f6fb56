# Prints the latency that an entry VM adds at p50 and p99, with request rate and CPU time.
fleet control=3 entry=3 domains=3
service forecast upstreams=1 floor=6 slots=64 connections=4000 latency=2
customer soum rate=100000 burst=100000
route ages prefix=/ages service=forecast
ready /ages
bench entry-1 forecast-1 customer=soum path=/ages/1960 connections=4 rate=500 seconds=5
bench entry-1 forecast-1 customer=soum path=/ages/1960 connections=16 rate=2000 seconds=5
