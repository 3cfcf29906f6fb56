# A withdrawn key is refused within 5 s on every entry VM, also on one that receives nothing from control VMs.
fleet control=3 entry=3 domains=3
service forecast upstreams=2 floor=6 slots=6 latency=5
customer soum rate=200 burst=100
route ages prefix=/ages service=forecast
ready /ages
cut control-1 -> entry-1
cut control-2 -> entry-1
cut control-3 -> entry-1
load lookups customer=soum method=GET path=/ages rate=50 for=10s resend=no
wait 1s
withdraw soum
expect lookups code=103 within=5s
